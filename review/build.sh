#!/usr/bin/env bash
# Builds the stand-ins that the scripts of this folder start. Run it after the build of
# the deploy file, from anywhere. It needs Go and no network.
set -eu
cd "$(dirname "$0")/standins"
GOWORK=off GOFLAGS= GOPROXY=off GOTOOLCHAIN=local go build -o ../bin/standins .
