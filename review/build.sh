#!/usr/bin/env bash
# Builds the stand-ins and drivers of the review's scripts. The store that the scripts start is
# the project's own stand-in, part of the program that the deploy file builds.
set -euo pipefail
cd "$(dirname "$0")/kit"
mkdir -p bin
GOWORK=off GOFLAGS=-buildvcs=false GOPROXY=off go build -o bin/reviewkit .
[ -x ../../target/tarragondrum ] || (cd ../.. && bash -c "$(sed -n 's/^build = "\(.*\)"$/\1/p' deploy/system.toml)")
