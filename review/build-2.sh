#!/bin/sh
# Builds the stand-ins of the second review's scripts, after the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
go build -o target/review-stand2 ./review/_stand2
