#!/usr/bin/env bash
# Builds the program that plays the cases, with their stand-ins.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -buildvcs=false -o target/review/ ./review/cmd/...
