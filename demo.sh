#!/usr/bin/env bash
# Builds the programs and runs the demo. The demo starts the processes of a small installation on the loopback interface, and sends
# them requests and a batch job. The arguments of this script are passed to the demo.
set -euo pipefail
cd "$(dirname "$0")"
export GOFLAGS="${GOFLAGS:--buildvcs=false}"
mkdir -p bin
go build -o bin/ ./cmd/...
exec go run ./examples/demo "$@"
