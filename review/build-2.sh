#!/usr/bin/env bash
# Builds the stand-ins of the scripts in review/4 to review/8, and the router as the deploy file does. Needs no network.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
go build -ldflags=-linkmode=external -o target/ ./cmd/traildrift
go build -o target/review/stage2 ./review/testdata/platform/stage2
