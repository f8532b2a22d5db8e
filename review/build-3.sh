#!/bin/sh
# Builds the stand-ins of the scripts of review/11 and later, after the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
go build -tags review -o target/review-3/standin-3 ./review/standin-3
