#!/bin/sh
# Builds the stand-ins of the second review's scripts, after the build of the deploy
# file: one program, with the project's own store stand-in in it.
set -eu
cd "$(dirname "$0")/.."
go test -c -o target/review/stand2 ./review/_stand2
