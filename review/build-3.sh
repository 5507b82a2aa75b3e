#!/bin/sh
# Builds every stand-in of the cases 11 to 15 into target/review-3, beside the programs of
# the deploy file. Needs no network once the modules of go.mod are there.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-3
GOFLAGS=-buildvcs=false go test -c -o target/review-3/stuck ./review/_stand3/stuck
