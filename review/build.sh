#!/bin/sh
# Builds the stand-ins that the scripts of the review start. Run it after the build of deploy/system.toml.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review
go build -o target/review/ ./review/testdata/platform/stage
