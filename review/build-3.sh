#!/usr/bin/env bash
# Builds the stand-ins that the script cases 11 to 15 start. The build of the deploy file comes first.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -buildvcs=false -o target/review-third/ ./review/third/cmd/...
