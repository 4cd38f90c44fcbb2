#!/bin/sh
# Builds the stand-ins that the scripts of the review start. The daemon is built by the deploy file.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target
go build -o target/review-stand ./review/_stand
