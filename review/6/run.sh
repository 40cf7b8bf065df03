#!/usr/bin/env bash
# A machine with a worker is removed for good while kept jobs run there. See claim.txt.
set -u
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
[ -x target/review-rig ] || { echo "run review/build-2.sh first"; exit 2; }
# TROUBLE=0 plays the same without the disruption.
export TROUBLE="${TROUBLE:-1}"
exec target/review-rig lost-machine "$here/record.txt"
