#!/usr/bin/env bash
# Builds every stand-in that the scripts of review/ start: one program, with the
# project's own store, engine and service stand-ins in it.
set -eu
cd "$(dirname "$0")/.."
go test -c -o target/review/harness ./review/_harness
