#!/usr/bin/env bash
# Builds what the scripts of cases 4 to 8 start besides the product: one program with the stand-ins
# for the store, the workers and the clients. It uses the standard library only.
set -u
cd "$(dirname "$0")/.." || exit 2
exec go build -o target/review-rig review/rig/*.go
