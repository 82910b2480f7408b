#!/bin/bash
# Builds the stand-ins and clients of the second review's scripts (cases 6 to 10).
set -eu
cd "$(dirname "$0")/.."
mkdir -p target
go build -buildvcs=false -tags review2 -o target/review-rig2 ./review/rig2
