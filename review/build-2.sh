#!/usr/bin/env bash
# Builds the stand-ins of the second review's scripts. The nodes are built by the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target
go test -c -o target/review-rig-2 ./review/_rig2
