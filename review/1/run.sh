#!/usr/bin/env bash
# Plays the case of this folder; TROUBLE=0 leaves the disruption out. Exit code: 1 broken, 0 held, 2 could not run.
set -uo pipefail
cd "$(dirname "$0")/../.." || exit 2
[ -x target/pimentry ] && [ -x target/review-standin ] || { echo "run the build of the deploy file and review/build.sh first"; exit 2; }
exec target/review-standin rolled-twice review/1/record.txt
