#!/usr/bin/env bash
# Builds the stand-ins of the review into target/review. They use the standard library alone. They
# are tests, and so built as a test binary, which runs the case that its arguments name.
set -euo pipefail
cd "$(dirname "$0")/testdata/harness"
mkdir -p ../../../target/review
GOWORK=off go test -c -o ../../../target/review/stand .
