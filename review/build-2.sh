#!/usr/bin/env bash
# Builds the stand-ins that the scripts of review/6 to review/10 start, into target/review/. The build of the deploy file comes first.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -tags review -o target/review/standin-2 ./review/standin-2
