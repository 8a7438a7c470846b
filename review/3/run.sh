#!/usr/bin/env bash
# Has the last heartbeat of a lost worker come late; see claim.txt. TROUBLE=0: it never comes.
cd "$(dirname "$0")/../.." || exit 2
for program in willowdeck-core willowdeck-agent willowdeck-edge review-standin; do
  [ -x "target/$program" ] || { echo "target/$program: build it first"; exit 2; }
done
exec target/review-standin late-heartbeat review/3
