#!/bin/sh
# Builds what the scripts of the review start besides the programs of the deploy file.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
go build -o target/review/stand ./review/stand/*.go
