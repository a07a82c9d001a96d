#!/usr/bin/env bash
# Runs every test with the race detector, except those that KNOWN-RED.txt names in its
# first column; a subtest is named TEST/SUBTEST.
set -euo pipefail
cd "$(dirname "$0")/.."
skip=''
if [ -s KNOWN-RED.txt ]; then
  skip=$(cut -d' ' -f1 KNOWN-RED.txt | sed 's#/#$/^#; s#.*#^&$#' | paste -sd'|')
fi
args=(-race -count=1 -timeout=8m)
if [ -n "$skip" ]; then
  args+=(-skip "$skip")
fi
go test "${args[@]}" ./...
