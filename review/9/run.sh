#!/usr/bin/env bash
# Runs the case "end-of-an-unseen-job". Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# With TROUBLE=0 it leaves the disruption out.
set -u
cd "$(dirname "$0")/../.." || exit 2
export TROUBLE="${TROUBLE:-1}"
exec target/review-3 end-of-an-unseen-job review/9/record.txt
