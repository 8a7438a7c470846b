#!/usr/bin/env bash
# Builds the rig of the second review, with its stand-ins, into target/review2. The programs come by the build
# line of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review2
go build -buildvcs=false -o target/review2/ ./review/rig2
