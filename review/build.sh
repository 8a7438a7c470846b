#!/usr/bin/env bash
# Builds the stand-ins that the scripts of review/ start.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-standin ./review/standin
mkdir -p target/review
go build -o target/review/rig ./review/rig
