#!/usr/bin/env bash
# Runs each fuzz target for a fixed number of inputs, so that the work is the same on
# every machine.
set -euo pipefail
cd "$(dirname "$0")/.."
executions=20000x
for file in $(grep -rl --include='*_test.go' '^func Fuzz' internal platform || true); do
  for target in $(grep -o '^func Fuzz[A-Za-z0-9_]*' "$file" | cut -d' ' -f2); do
    go test -run='^$' -fuzz="^$target\$" -fuzztime="$executions" "./$(dirname "$file")"
  done
done
