#!/bin/sh
# Builds the stand-ins that the scripts of review/11 to review/15 start.
set -e
cd "$(dirname "$0")/.."
mkdir -p target
go test -c -o target/rig3 ./review/_rig3
