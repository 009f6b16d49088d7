#!/usr/bin/env bash
# Builds the stand-ins of the scripts in review/6 to review/10 into target/review.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -buildvcs=false -o target/review/ ./review/second/cmd/...
