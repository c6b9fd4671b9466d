#!/bin/sh
# Builds the stand-ins of the cases 11 to 15 into target/review-3. They use the standard
# library of Go only.
set -eu
cd "$(dirname "$0")/standin-3"
GOWORK=off GOFLAGS=-mod=mod GOPROXY=off go build -o ../../target/review-3/cases .
