#!/usr/bin/env bash
# Builds the programs and runs the demo, which starts separate processes on the loopback interface and sends them requests and a batch
# job.
set -euo pipefail
cd "$(dirname "$0")"
export GOFLAGS="${GOFLAGS:--buildvcs=false}"
mkdir -p bin
go build -o bin/ ./cmd/...
exec go run ./examples/demo "$@"
