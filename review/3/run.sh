#!/bin/sh
# Exit status: 1 the rule was broken, 0 it held, 2 the case could not run. TROUBLE=0: without the disruption.
folder=$(cd "$(dirname "$0")" && pwd)
cd "$folder/../.." || exit 2
[ -x target/review/rig ] || { echo "run review/build.sh first"; exit 2; }
exec target/review/rig garbage "$folder/record.txt"
