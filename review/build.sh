#!/usr/bin/env bash
# Builds the stand-ins of the scripts under review/ into target/.
set -u
cd "$(dirname "$0")/.." || exit 2
exec go build -o target/review-bed review/bed/*.go
