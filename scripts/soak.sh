#!/usr/bin/env bash
# Runs the fault soak: scripts/soak.sh [SEEDS] [SECONDS] [TEST]. SEEDS is a range or a list, by
# default 16 random ones in a row; the logs of all VMs go to out/soak. At most 4 fleets
# run at once, some 30 processes.
set -euo pipefail
cd "$(dirname "$0")/.."
fresh=$((RANDOM * 32768 + RANDOM + 1000))
export DOGWOODPOND_SOAK_SEEDS=${1:-$fresh-$((fresh + 15))}
export DOGWOODPOND_SOAK_SECONDS=${2:-20}
export DOGWOODPOND_SOAK_LOGS=$PWD/out/soak
mkdir -p "$DOGWOODPOND_SOAK_LOGS"
echo "seeds $DOGWOODPOND_SOAK_SEEDS, $DOGWOODPOND_SOAK_SECONDS s each"
go test -count=1 -timeout=60m -parallel=4 -run "${3:-TestSoak|TestStepsSubmittedDuringOutages|TestStallsAmongOtherFaults}" -v ./platform/soak
