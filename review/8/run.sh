#!/usr/bin/env bash
# Shows the case of claim.txt. Exits with 1 if the rule was broken, 0 if it held and 2 if the case could not run. TROUBLE=0 leaves
# out the disruption. Needs the build line of deploy/system.toml and review/build-2.sh.
set -euo pipefail
here="$(cd "$(dirname "$0")" && pwd)"
cd "$here/../.."
RECORD="$here/record.txt" exec target/review-rig2 lines
