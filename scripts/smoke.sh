#!/usr/bin/env bash
# End-to-end test on loopback: a platform, engines and services, and 9 daemons in
# 3 failure domains; then a contract, a key, generate calls, a service call with an
# idempotency key, and a step of grouped samples whose owner is killed while the step
# runs.
#   --end   exits at the end; fails on any difference from the expected counts
#   --stay  checks the same, then keeps the processes running until Ctrl-C
set -euo pipefail
cd "$(dirname "$0")/.."
mode=${1:---end}
standin=bin/dogwoodpond-standin
ctl=bin/dogwoodpondctl
daemon=bin/dogwoodpondd
work=$(mktemp -d)
pids=()
declare -A name_of
# report_failure <status>: prints the command that failed, the processes that are gone, and the last lines of each log.
report_failure() {
  {
    echo "smoke: FAILED with status $1${failed_line:+ at line $failed_line: $failed_command}"
    for pid in "${pids[@]}"; do
      kill -0 "$pid" 2>/dev/null || echo "process $pid (${name_of[$pid]}) has ended"
    done
    for log in "$work"/*.log "$work"/*.err; do
      if [ -s "$log" ]; then
        echo "--- last lines of $(basename "$log")"
        tail -5 "$log"
      fi
    done
  } >&2
}
set -E
failed_line='' failed_command='' complete=
trap 'failed_line=$LINENO failed_command=$BASH_COMMAND' ERR
stop() {
  local status=$?
  if [ "$status" != 0 ] && [ -z "$complete" ]; then report_failure "$status"; fi
  for pid in "${pids[@]}"; do kill -CONT "$pid" 2>/dev/null || true; kill -TERM "$pid" 2>/dev/null || true; done
  wait 2>/dev/null || true
  rm -rf "$work" bin/run.env
}
trap stop EXIT

# await <file> <pattern>: waits until a line of the file matches.
await() {
  for _ in $(seq 300); do
    if grep -qE "$2" "$1" 2>/dev/null; then return 0; fi
    sleep 0.1
  done
  echo "smoke: FAILED: no line '$2' in $1" >&2
  tail -5 "$1" >&2 || true
  exit 1
}
# start_standin <name> <arguments>: starts a stand-in and sets $bound to its address.
start_standin() {
  local name=$1
  shift
  "$standin" "$@" >"$work/$name.out" 2>"$work/$name.err" &
  pids+=($!)
  name_of[$!]=$name
  await "$work/$name.out" '^listening '
  bound=$(sed -n 's/^listening //p' "$work/$name.out" | head -1)
}
post() { "$standin" post "$@" >/dev/null; }
expect() { # expect <what> <got> <wanted>
  if [ "$2" != "$3" ]; then
    echo "smoke: FAILED: $1 is '$2', expected '$3'" >&2
    exit 1
  fi
}
field() { # field <name>: reads a number from JSON on standard input
  grep -oE "\"$1\": ?[0-9]+" | head -1 | grep -oE '[0-9]+$'
}

domains=(a b c)
start_standin platform platform
platform=http://$bound
post "$platform/stand-in/weights" '{"model":"berry-1"}'
engines=()
desks=()
upstreams=0
for d in "${domains[@]}"; do
  for n in 1 2 3; do
    reclaimable=false
    [ "$n" = 3 ] && reclaimable=true
    fencing=()
    [ "$n" = 1 ] && fencing=(--checks-fencing)
    start_standin "engine-$d$n" engine --slots 8 "${fencing[@]}"
    engines+=("$bound")
    checks=$([ "$n" = 1 ] && echo true || echo false)
    post "$platform/stand-in/upstreams" "{\"id\":\"engine-$d$n\",\"kind\":\"engine\",\"failureDomain\":\"$d\",\"address\":\"$bound\",\"model\":\"berry-1\",\"slots\":8,\"reclaimable\":$reclaimable,\"checksFencing\":$checks}"
    upstreams=$((upstreams + 1))
  done
  start_standin "desk-$d" service
  desks+=("$bound")
  post "$platform/stand-in/upstreams" "{\"id\":\"desk-$d\",\"kind\":\"service\",\"service\":\"desk\",\"failureDomain\":\"$d\",\"address\":\"$bound\",\"slots\":64}"
  upstreams=$((upstreams + 1))
done

token=smoke-operator-token
token_hash=$(printf %s "$token" | sha256sum | cut -d' ' -f1)
declare -A vm_pid
entries=()
vms=()
for d in "${domains[@]}"; do
  for n in 1 2 3; do
    vm=vm-$d$n
    cat >"$work/$vm.json" <<J
{"vm":"$vm","failureDomain":"$d","region":"tayside","callerAddress":"127.0.0.1:0","operatorAddress":"127.0.0.1:0",
 "peerAddress":"127.0.0.1:0","platformUrl":"$platform","operatorTokenSha256":"$token_hash","leaseTermMillis":2000,
 "digestPeriodMillis":200,"revisionPollMillis":500,"usageWindowSeconds":5,"orderTimeoutMillis":1000}
J
    "$ctl" settings check "$work/$vm.json" >/dev/null
    "$daemon" --settings "$work/$vm.json" 2>"$work/$vm.log" &
    vm_pid[$vm]=$!
    pids+=($!)
    name_of[$!]=$vm
    vms+=("$vm")
  done
done
operator=
declare -A vm_operator
for vm in "${vms[@]}"; do
  await "$work/$vm.log" 'callers=.* operators=.* peers='
  bound=$(grep -oE 'callers=[^ "]+ operators=[^ "]+ peers=[^ "]+' "$work/$vm.log" | head -1)
  callers=$(sed -E 's/callers=([^ ]+) .*/\1/' <<<"$bound")
  operators=$(sed -E 's/.* operators=([^ ]+) .*/\1/' <<<"$bound")
  peers=$(sed -E 's/.* peers=([^ ]+)$/\1/' <<<"$bound")
  entries+=("$callers")
  [ -n "$operator" ] || operator=$operators
  vm_operator[$vm]=$operators
  d=${vm:3:1}
  post "$platform/stand-in/vms" "{\"id\":\"$vm\",\"failureDomain\":\"$d\",\"region\":\"tayside\",\"callerAddress\":\"$callers\",\"peerAddress\":\"$peers\"}"
done

export DOGWOODPOND_ADDRESS=$operator DOGWOODPOND_TOKEN=$token DOGWOODPOND_WHO=smoke
cat >"$work/contract.json" <<J
{"account":"strathallan","share":100,"staleness":{"maxVersions":2,"maxSeconds":600},"reclaimable":{"percent":50}}
J
"$ctl" contract apply "$work/contract.json" >/dev/null
DOGWOODPOND_KEY=$("$ctl" key grant strathallan)
export DOGWOODPOND_KEY
for entry in "${entries[@]}"; do
  for _ in $(seq 100); do
    if "$standin" post --method GET "http://$entry/readyz" >/dev/null 2>&1; then break; fi
    sleep 0.1
  done
done

# One generate call through each daemon.
served=0
declare -A request_of
for i in "${!entries[@]}"; do
  entry=${entries[$i]}
  "$standin" post --header "Authorization: Bearer $DOGWOODPOND_KEY" "http://$entry/v1/generate" \
    '{"model":"berry-1","prompt":"When do the raspberries open?","maxTokens":32}' >"$work/answer.json"
  served=$((served + 1))
  request_of[${vms[$i]}]=$(grep -oE '"requestId": ?"[^"]+"' "$work/answer.json" | grep -oE '[0-9a-f-]{36}')
done

# One service call with an idempotency key, repeated through another daemon: it must be
# executed once.
charge() {
  "$standin" post --header "Authorization: Bearer $DOGWOODPOND_KEY" --header 'Idempotency-Key: tree-17' \
    "http://$1/v1/services/desk/deposit" '{"tree":17,"cents":2500}'
}
first=$(charge "${entries[0]}")
second=$(charge "${entries[4]}")
expect 'the repeated charge' "$second" "$first"
served=$((served + 1))

# A step of grouped samples. The daemon that owns it is killed while the step runs, and
# another daemon must take it over.
owner_of() { # owner_of <step>: the VM that reported last that it owns the step
  "$ctl" timeline --step "$1" 2>/dev/null | grep DWP-1402 | tail -1 | grep -oE 'vm-[a-z][0-9]' | head -1
}
flags=()
for entry in "${entries[@]}"; do flags+=(--entry "$entry"); done
"$standin" trainer "${flags[@]}" --step round-1 --scorer desk --groups 32 --samples 8 --max-tokens 128 >"$work/trainer.json" &
trainer=$!
owner=
for _ in $(seq 100); do
  owner=$(owner_of round-1 || true)
  [ -z "$owner" ] || break
  sleep 0.1
done
if [ -z "$owner" ]; then
  echo "smoke: FAILED: no daemon owns the step" >&2
  exit 1
fi
sleep 0.5
kill -KILL "${vm_pid[$owner]}"
for vm in "${vms[@]}"; do
  # The events of the killed daemon are lost, so show a request that another one got.
  [ "$vm" = "$owner" ] || { operator=${vm_operator[$vm]}; request=${request_of[$vm]}; }
done
export DOGWOODPOND_ADDRESS=$operator
if ! wait "$trainer"; then
  echo "smoke: FAILED: the trainer of the step failed" >&2
  cat "$work/trainer.json" >&2
  exit 1
fi
successor=$(owner_of round-1 || true)
if [ -z "$successor" ] || [ "$successor" = "$owner" ]; then
  echo "smoke: FAILED: no daemon took the step over from $owner" >&2
  cat "$work/trainer.json" >&2
  exit 1
fi
samples=$(field samples <"$work/trainer.json")
expect 'samples delivered' "$samples" 256
expect 'samples repeated' "$(field repeated <"$work/trainer.json")" 0
expect 'samples out of order' "$(field gaps <"$work/trainer.json")" 0
expect 'samples without weight versions' "$(field unattributed <"$work/trainer.json")" 0
expect 'samples without a score' "$(field unscored <"$work/trainer.json")" 0
expect 'wrong samples' "$(field wrong <"$work/trainer.json")" 0
keys=0
for e in "${engines[@]}"; do
  seen=$("$standin" post --method GET "http://$e/stand-in/counts" | field keysSeen)
  keys=$((keys + seen))
done
expect 'requests to engines that held a key' "$keys" 0

runs=0
for desk in "${desks[@]}"; do
  ran=$("$standin" post --method GET "http://$desk/stand-in/counts" | field started)
  runs=$((runs + ran))
done
expect 'executions of the charge that was sent twice' "$runs" 1

# The same requests, step and edits as dogwoodpondctl shows them.
expect 'the outcome that explain prints' "$("$ctl" --output json explain "$request" | grep -oE '"outcome": "[a-z ]+"')" '"outcome": "answered"'
expect 'the step in the list of steps' "$("$ctl" steps strathallan | awk '/round-1/ {print $4, $5}')" '256 256'
expect 'edits in the history' "$("$ctl" contract history strathallan | grep -c '^revision ')" 2
reported=
for _ in $(seq 300); do
  reported=$("$ctl" --output json usage | grep -c '"account": "strathallan"' || true)
  if [ "$reported" -gt 0 ]; then break; fi
  sleep 0.1
done
if [ "$reported" = 0 ]; then
  echo "smoke: FAILED: no usage report after 300 tries" >&2
  exit 1
fi

echo "status as operators see it:"
"$ctl" status
echo "steps and usage reports so far:"
"$ctl" steps
"$ctl" usage
echo "time line of request $request over all processes:"
"$ctl" timeline --request "$request"
echo "the same request, explained:"
"$ctl" explain "$request"
complete=true
echo "smoke: ok: $served requests served, $samples samples delivered once each with their weight versions, ${#vms[@]} daemons (the owner $owner killed, $successor took over), $upstreams upstreams"
if [ "$mode" = --stay ]; then
  # Environment for another terminal; the tour in README.md reads this file.
  cat >bin/run.env <<J
export PATH="$PWD/bin:\$PATH"
export DOGWOODPOND_ADDRESS=$operator DOGWOODPOND_TOKEN=$token DOGWOODPOND_WHO="\${USER:-tour}"
export CALLERS=${entries[0]}
J
  echo "running until Ctrl-C; in another terminal: . bin/run.env"
  wait
fi
