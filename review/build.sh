#!/usr/bin/env bash
# Builds the stand-ins of the review into target/review. They use the standard library alone.
set -euo pipefail
cd "$(dirname "$0")/testdata/harness"
mkdir -p ../../../target/review
GOWORK=off go build -o ../../../target/review/stand .
