#!/bin/sh
# Builds the stand-ins of the cases 4 to 8 into target/, after the build of the deploy file. No network is needed.
set -e
root=$(cd "$(dirname "$0")/.." && pwd)
mkdir -p "$root/target"
cd "$root/review/standin-2"
GOFLAGS=-mod=mod GOTOOLCHAIN=local GOWORK=off go build -trimpath -buildvcs=false -o "$root/target/review-standin-2" .
