#!/bin/sh
# Builds what the scripts of cases 6 to 10 start: the program with the command of the deploy file,
# which has the project's stand-in of the store too, and the kit with the other stand-ins.
set -eu
cd "$(dirname "$0")/.."
CGO_ENABLED=1 go build -tags netcgo -ldflags=-linkmode=external -o target/ ./cmd/tarragondrum
cd review/kit2
CGO_ENABLED=0 GOFLAGS=-mod=mod go build -o ../../target/review-kit2 .
