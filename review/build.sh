#!/usr/bin/env bash
# Builds the stand-ins of the review's scripts. The nodes are built by the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target
go test -c -o target/review-rig ./review/_rig
