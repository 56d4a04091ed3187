#!/usr/bin/env bash
# Builds the stand-ins of the third review's scripts into target/. The system itself is built by the deploy file.
set -euo pipefail
cd "$(dirname "$0")/parts-3"
GOFLAGS=-mod=mod GOTOOLCHAIN=local go build -o ../../target/parts3 .
