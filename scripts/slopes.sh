#!/usr/bin/env bash
# Measures how costs grow with the fleet, as cited in docs/CAPACITY.md, on real daemons
# on loopback. For each size: the cost of control per VM (processor time, memory,
# bytes) with one small request to each VM every 5 s, so that the loads of engines are
# polled; the store calls of the fleet; and the time until the answer to an edit lists
# every VM.
# Then, at 9 VMs, the cost of a request, a token and a sample. ASK=no leaves out the
# small requests and the measurement at 9 VMs.
set -euo pipefail
cd "$(dirname "$0")/.."
# shellcheck source=scripts/fleet.sh
. scripts/fleet.sh
sizes=${SIZES:-3 9 30 60}
settle=${SETTLE:-8}
window=${WINDOW:-5}
# target is the number of VMs to which the measured costs are extrapolated, and
# target_engines the number of engines in each failure domain at that size.
target=390
target_engines=103
domains=(a b c)
rows="$work/rows"
ticks=$(getconf CLK_TCK)

vm_names() { local n; for n in "${!pid_of[@]}"; do case $n in vm-*) echo "$n" ;; esac; done; }
cpu_ticks() { # the processor time of all daemons in ticks
  local n
  for n in $(vm_names); do awk '{print $14 + $15}' "/proc/${pid_of[$n]}/stat"; done | awk '{s += $1} END {print s}'
}
cpu_each() { # the processor time of each daemon in ticks, by name
  local n
  for n in $(vm_names); do echo "$n $(awk '{print $14 + $15}' "/proc/${pid_of[$n]}/stat")"; done | sort
}
memory_kib() { # the mean resident memory of the daemons
  local n
  for n in $(vm_names); do awk '/^VmRSS/ {print $2}' "/proc/${pid_of[$n]}/status"; done | awk '{s += $1} END {printf "%.0f", s / NR}'
}
scrape() { # scrape <metric>: its sum over all daemons
  local e
  for e in "${entries[@]}"; do "$standin" post --method GET "http://$e/metrics" | grep -E "^$1" | awk '{print $NF}'; done | awk '{s += $1} END {printf "%.0f", s}'
}
table_count() { "$standin" post --method GET "$platform/stand-in/tables" | jq ".$1"; }
moved() { # moved <rchar|wchar>: bytes that all daemons have read or written, sockets and log alike
  local n
  for n in $(vm_names); do awk -v f="$1:" '$1 == f {print $2}' "/proc/${pid_of[$n]}/io"; done | awk '{s += $1} END {printf "%.0f", s}'
}

start_size() { # start_size <VMs>: lists two engines per VM, which three processes serve
  local i d vms=()
  operator=
  start_platform
  for i in 0 1 2; do start_engine "engine-${domains[$i]}" "${domains[$i]}" --token-time 1ms; done
  for ((i = 3; i < 2 * $1; i++)); do
    d=${domains[$((i % 3))]}
    post "$platform/stand-in/upstreams" "{\"id\":\"engine-$d-$i\",\"kind\":\"engine\",\"failureDomain\":\"$d\",\"address\":\"${engines[$((i % 3))]}\",\"model\":\"berry-1\",\"slots\":8}"
  done
  for ((i = 0; i < $1; i++)); do vms+=("vm-$i:${domains[$((i % 3))]}"); done
  start_vms '' "${vms[@]}"
  grant slopes 100
  sleep 2
  ask_each
}
ask_each() { # sends one small request to each daemon
  local e
  for e in "${entries[@]}"; do
    post --header "Authorization: Bearer $key" "http://$e/v1/generate" '{"model":"berry-1","prompt":"open?","maxTokens":8}'
  done
}

printf '%5s %12s %12s %10s %12s %14s %14s %12s %12s %12s\n' VMs 'cpu %/VM' 'busiest %' 'MiB/VM' 'peer B/s/VM' 'store reads/s' 'store writes/s' 'read B/s/VM' 'write B/s/VM' 'edit, s'
for size in $sizes; do
  start_size "$size"
  sleep "$settle"
  begun=$(date +%s%N)
  cpu_each >"$work/before"
  cpu=$(cpu_ticks) bytes=$(scrape dogwoodpond_peer_sent_bytes_total) reads=$(table_count reads) commits=$(table_count commits) in=$(moved rchar) out=$(moved wchar)
  for _ in 1 2 3; do
    if [ "${ASK:-yes}" = yes ]; then ask_each; fi
    sleep "$window"
  done
  in=$(($(moved rchar) - in)) out=$(($(moved wchar) - out))
  cpu=$(($(cpu_ticks) - cpu)) reads=$(($(table_count reads) - reads)) commits=$(($(table_count commits) - commits))
  span=$(($(date +%s%N) - begun))
  busiest=$(cpu_each | join "$work/before" - | awk '{d = $3 - $2; if (d > m) m = d} END {print m}')
  bytes=$(($(scrape dogwoodpond_peer_sent_bytes_total) - bytes))
  memory=$(memory_kib)
  edit=$(date +%s%N)
  grant "edit-$size" 100
  edit=$((($(date +%s%N) - edit) / 2))
  awk -v n="$size" -v cpu="$cpu" -v busiest="$busiest" -v ticks="$ticks" -v span="$span" -v kib="$memory" -v bytes="$bytes" -v reads="$reads" -v commits="$commits" \
    -v in_bytes="$in" -v out_bytes="$out" -v edit="$edit" 'BEGIN {
      s = span / 1e9
      printf "%5d %12.2f %12.2f %10.1f %12.0f %14.1f %14.1f %12.0f %12.0f %12.2f\n", n, 100 * cpu / ticks / s / n, 100 * busiest / ticks / s, kib / 1024, bytes / s / n, reads / s, commits / s, in_bytes / s / n, out_bytes / s / n, edit / 1e9
    }' | tee -a "$rows"
  fleet_stop
done

# Linear extrapolation from the measured sizes to the target: memory by VMs, and the
# processor time of the busiest VM, which sends the orders of its failure domain, by
# the engines there (two for each VM, in three failure domains). The other columns
# level off or fall.
awk -v vms="$target" -v engines="$target_engines" '
  function carry(sx, sy, sxx, sxy, x,   b) { b = (NR * sxy - sx * sy) / (NR * sxx - sx * sx); return (sy - b * sx) / NR + b * x }
  { e = 2 * $1 / 3; x += $1; xx += $1 * $1; ee += e * e; es += e; m += $4; xm += $1 * $4; b += $3; eb += e * $3 }
  END {
    printf "extrapolated: %.0f MiB at %d VMs; busiest VM %.2f %% with %d engines in its failure domain\n", carry(x, m, xx, xm, vms), vms, carry(es, b, ee, eb, engines), engines
  }' "$rows"
if [ "${ASK:-yes}" = no ]; then exit; fi

start_size 9
sleep 3
begun=$(date +%s%N) cpu=$(cpu_ticks)
sleep 8
idle=$(awk -v c="$(($(cpu_ticks) - cpu))" -v s="$(($(date +%s%N) - begun))" 'BEGIN {print c / s}')
flags=()
for e in "${entries[@]}"; do flags+=(--entry "$e"); done
echo "{\"seconds\":10,\"seed\":3,\"accounts\":[{\"name\":\"slopes\",\"key\":\"$key\",\"share\":100,\"rate\":60,\"maxTokens\":256,\"sigma\":0.2,\"groups\":20,\"promptWords\":40}]}" >"$work/plan.json"
begun=$(date +%s%N) cpu=$(cpu_ticks) reads=$(table_count reads) commits=$(table_count commits)
"$standin" load --plan "$work/plan.json" "${flags[@]}" >"$work/load.json"
cpu=$(($(cpu_ticks) - cpu)) span=$(($(date +%s%N) - begun))
jq -r '.accounts[0] | "\(.answered) \(.tokens)"' "$work/load.json" | awk -v cpu="$cpu" -v ticks="$ticks" -v idle="$idle" -v span="$span" '{
  used = (cpu - idle * span) / ticks
  printf "requests: %d answered, %d tokens: %.2f ms of processor time per request, %.1f us per token\n", $1, $2, 1000 * used / $1, 1e6 * used / $2
}'
step() { # step <samples>: reads and writes of the store during one step
  local r c
  r=$(table_count reads) c=$(table_count commits)
  DOGWOODPOND_KEY=$key "$standin" trainer "${flags[@]}" --step "slopes-$1" --groups $(($1 / 8)) --samples 8 --max-tokens 32 >"$work/step.json"
  jq -r '"\(.samples) \(.millis)"' "$work/step.json" | awk -v r="$(($(table_count reads) - r))" -v c="$(($(table_count commits) - c))" '{
    printf "step of %d samples in %.1f s: %d store reads and %d store writes, including those of the idle fleet\n", $1, $2 / 1000, r, c
  }'
}
step 64
step 512
