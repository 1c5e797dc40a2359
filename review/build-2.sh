#!/bin/sh
# Builds the stand-ins of the cases from 4 on. It needs no network after the build of the deploy file.
cd "$(dirname "$0")/.." || exit 2
go build -o target/review-2/stand ./review/stand-2
