#!/bin/sh
# Builds the stand-ins and the test drivers of all cases. Needs no network once the build of the
# deploy file has run.
set -e
cd "$(dirname "$0")/.."
go build -o target/review-stand ./review/stand
