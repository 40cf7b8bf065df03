#!/usr/bin/env bash
# Builds the stand-ins and clients of the scripted cases of the third review, after the build of deploy/system.toml.
set -u
cd "$(dirname "$0")/.." || exit 2
go build -o target/review-3 review/stand-3/*.go
