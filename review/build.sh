#!/usr/bin/env bash
# Builds the stand-ins and clients of all cases into target/review.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for main in review/[1-5]/main.go; do
  [ -e "$main" ] || continue
  n=$(basename "$(dirname "$main")")
  go build -o "target/review/$n" "./review/$n"
done
