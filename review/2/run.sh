#!/usr/bin/env bash
# Stops and starts the edges in turn while clients send streams; see claim.txt. TROUBLE=0: without the stops.
cd "$(dirname "$0")/../.." || exit 2
for program in willowdeck-core willowdeck-agent willowdeck-edge review-standin; do
  [ -x "target/$program" ] || { echo "target/$program: build it first"; exit 2; }
done
exec target/review-standin rolling-stop review/2
