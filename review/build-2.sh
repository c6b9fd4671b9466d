#!/bin/sh
# Builds the stand-in of the second review. It needs the Go toolchain only.
set -e
cd "$(dirname "$0")/.."
mkdir -p target
GOWORK=off go build -o target/review-standin-2 ./review/standin-2/*.go
