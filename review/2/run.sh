#!/usr/bin/env bash
# Kills workers inside an event of a stream; see claim.txt. TROUBLE=0: the same without the kills.
cd "$(dirname "$0")/../.." || exit 2
for program in willowdeck-core willowdeck-agent willowdeck-edge review-standin; do
  [ -x "target/$program" ] || { echo "target/$program: build it first"; exit 2; }
done
exec target/review-standin cut-event review/2
