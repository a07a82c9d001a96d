#!/bin/sh
# Builds the stand-ins of the cases into review/bin. It needs no network: they use the standard library only.
set -eu
cd "$(dirname "$0")/standin"
GOFLAGS=-mod=mod GOTOOLCHAIN=local go build -trimpath -buildvcs=false -o ../bin/standin .
