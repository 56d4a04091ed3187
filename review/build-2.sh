#!/bin/sh
# Builds the stand-ins that the scripts of the second review start. It needs no network.
set -eu
cd "$(dirname "$0")/.."
go build -o target/review2/lab2 ./review/lab2
