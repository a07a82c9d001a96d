#!/usr/bin/env bash
# Prints the figures of steps, each with its plain baseline from the same run:
# step time and trainer idle time with and without hedging, store writes, age at
# delivery with and without a bound, tokens generated again after an owner's
# death, processor time. Time is virtual but for the last.
set -euo pipefail
cd "$(dirname "$0")/.."
go test -count=1 -run '^TestMeasure' -v ./internal/rollout | sed -n 's/^ *measure_test.go:[0-9]*: //p'
