#!/usr/bin/env bash
# Runs the fault matrix: every fault at every step of each protocol, and pairs of
# faults, in virtual time. Prints the cases run and failed, one line per protocol.
set -euo pipefail
cd "$(dirname "$0")/.."
out=$(mktemp)
trap 'rm -f "$out"' EXIT
if ! go test -count=1 -timeout=8m -run '^(TestMatrix|TestFaultAtEveryCall)' -v ./internal/... >"$out" 2>&1; then
  grep -E 'matrix|FAIL|with .*:' "$out" | head -50
  exit 1
fi
grep -oE 'matrix: .*' "$out"
