#!/usr/bin/env bash
# Runs the case; exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review/5 ] && [ -x target/crocusstile-entryd ] || exit 2
exec target/review/5 review/5
