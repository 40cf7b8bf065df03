#!/usr/bin/env bash
# Runs the case "cancel-of-an-unknown-job". Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# With TROUBLE=0 it leaves the disruption out.
set -u
cd "$(dirname "$0")/../.." || exit 2
export TROUBLE="${TROUBLE:-1}"
exec target/review-3 cancel-of-an-unknown-job review/12/record.txt
