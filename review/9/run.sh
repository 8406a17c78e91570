#!/usr/bin/env bash
# Runs the case "restarted". Exit code: 1 if the rule was broken, 0 if it held, 2 if the case could not
# run. With TROUBLE=0 it runs without the disruption.
set -uo pipefail
cd "$(dirname "$0")/../.." || exit 2
if [ ! -x target/papayaquay ] || [ ! -x target/review-lab2 ]; then
	echo "build the deploy file and review/build-2.sh first"
	exit 2
fi
exec target/review-lab2 restarted review/9/record.txt
