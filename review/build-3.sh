#!/usr/bin/env bash
# Builds the stand-ins of the scripts review/11 to review/15.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-3/ ./review/rig3
