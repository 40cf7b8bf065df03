#!/usr/bin/env bash
# The route of a queue is removed while its kept jobs run, and an entry is restarted. See claim.txt.
set -u
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
[ -x target/review-rig ] || { echo "run review/build-2.sh first"; exit 2; }
exec target/review-rig dropped-route "$here/record.txt"
