#!/usr/bin/env bash
# Measures steps.
#   Part 1, virtual time, each measurement with its baseline from the same run:
#   step time and trainer idle time with and without hedging, store writes, age of
#   samples at delivery with and without a staleness limit, tokens generated again
#   after the death of an owner, processor time.
#   Part 2, processes on loopback: two concurrent trainers with 2,048 samples each
#   on 9 daemons and 9 engines of 8 slots, with two weight updates during the steps.
set -euo pipefail
cd "$(dirname "$0")/.."
echo 'part 1: virtual time'
go test -count=1 -run '^TestMeasure' -v ./internal/rollout | sed -n 's/^ *measure_test.go:[0-9]*: //p'

echo 'part 2: processes'
# shellcheck source=scripts/fleet.sh
. scripts/fleet.sh
start_platform
vms=()
for d in a b c; do
  for n in 1 2 3; do
    start_engine "engine-$d$n" "$d" --token-time 2ms
    vms+=("vm-$d$n:$d")
  done
done
start_vms ',"leaseTermMillis":2000' "${vms[@]}"
flags=()
for entry in "${entries[@]}"; do flags+=(--entry "$entry"); done
trainers=()
keys=()
for account in strathallan brazicod; do
  grant "$account" 100
  keys+=("$key")
done
# The holders of the failure domains' leases wait for the order grace period before
# their first order.
sleep 14
tables() { "$standin" post --method GET "$platform/stand-in/tables" | grep -oE "\"$1\":[0-9]+" | grep -oE '[0-9]+'; }
daemon_seconds() { # processor time of all daemons so far
  local name
  for name in "${!pid_of[@]}"; do
    case $name in vm-*) awk '{print $14 + $15}' "/proc/${pid_of[$name]}/stat" ;; esac
  done | awk -v ticks="$(getconf CLK_TCK)" '{sum += $1} END {print sum / ticks}'
}
commits=$(tables commits)
reads=$(tables reads)
spent=$(daemon_seconds)
for n in 0 1; do
  DOGWOODPOND_KEY=${keys[$n]} "$standin" trainer "${flags[@]}" --step round-1 --groups 256 --samples 8 --max-tokens 64 >"$work/trainer-$n.json" &
  trainers+=($!)
done
for _ in 1 2; do
  sleep 1.5
  post "$platform/stand-in/weights" '{"model":"berry-1"}'
done
for trainer in "${trainers[@]}"; do wait "$trainer"; done
cat "$work"/trainer-*.json
awk -v c0="$commits" -v c1="$(tables commits)" -v r0="$reads" -v r1="$(tables reads)" -v s0="$spent" -v s1="$(daemon_seconds)" 'BEGIN {
  n = 4096
  printf "all daemons, per sample: %.3f transactions, %.3f reads, %.2f ms of processor time\n", (c1-c0)/n, (r1-r0)/n, (s1-s0)*1000/n }'
