# Functions to run a fleet on loopback; bench.sh, bench-rollouts.sh and slopes.sh
# source this file. All processes that they start are killed when the script exits.
standin=bin/dogwoodpond-standin
ctl=bin/dogwoodpondctl
daemon=bin/dogwoodpondd
work=$(mktemp -d)
declare -A pid_of
entries=()
engines=()
operator=
platform=
export DOGWOODPOND_TOKEN=fleet-operator-token DOGWOODPOND_WHO=fleet

fleet_stop() {
  local pid
  for pid in "${pid_of[@]}"; do kill -KILL "$pid" 2>/dev/null || true; done
  pid_of=()
  entries=()
  engines=()
}
trap 'fleet_stop; rm -rf "$work"' EXIT

# await <file> <pattern>: waits until a line of the file matches.
await() {
  for _ in $(seq 300); do
    if grep -qE "$2" "$1" 2>/dev/null; then return 0; fi
    sleep 0.1
  done
  echo "fleet: FAILED: no line '$2' in $1" >&2
  tail -5 "$1" >&2 || true
  exit 1
}

post() { "$standin" post "$@" >/dev/null; }

# start_standin <name> <arguments>: starts a stand-in and sets $bound to its address.
start_standin() {
  local name=$1
  shift
  "$standin" "$@" >"$work/$name.out" 2>"$work/$name.err" &
  pid_of[$name]=$!
  disown
  await "$work/$name.out" '^listening '
  bound=$(sed -n 's/^listening //p' "$work/$name.out" | head -1)
}

start_platform() {
  start_standin platform platform
  platform=http://$bound
  post "$platform/stand-in/weights" '{"model":"berry-1"}'
}

# start_engine <name> <failure domain> <flags>
start_engine() {
  local name=$1 domain=$2
  shift 2
  start_standin "$name" engine --slots 8 "$@"
  engines+=("$bound")
  post "$platform/stand-in/upstreams" "{\"id\":\"$name\",\"kind\":\"engine\",\"failureDomain\":\"$domain\",\"address\":\"$bound\",\"model\":\"berry-1\",\"slots\":8}"
}

# start_vms <settings> <name:failure domain ...>: starts daemons and registers them
# with the platform. <settings> are further settings as JSON members, each with a
# leading comma.
start_vms() {
  local more=$1 spec name domain hash line callers operators peers
  shift
  hash=$(printf %s "$DOGWOODPOND_TOKEN" | sha256sum | cut -d' ' -f1)
  for spec in "$@"; do
    name=${spec%%:*} domain=${spec##*:}
    echo "{\"vm\":\"$name\",\"failureDomain\":\"$domain\",\"region\":\"tayside\",\"callerAddress\":\"127.0.0.1:0\",
      \"operatorAddress\":\"127.0.0.1:0\",\"peerAddress\":\"127.0.0.1:0\",\"platformUrl\":\"$platform\",
      \"operatorTokenSha256\":\"$hash\"$more}" >"$work/$name.json"
    "$daemon" --settings "$work/$name.json" 2>"$work/$name.log" &
    pid_of[$name]=$!
    disown
  done
  for spec in "$@"; do
    name=${spec%%:*} domain=${spec##*:}
    await "$work/$name.log" 'callers=.* operators=.* peers='
    line=$(grep -oE 'callers=[^ "]+ operators=[^ "]+ peers=[^ "]+' "$work/$name.log" | head -1)
    read -r callers operators peers < <(sed -E 's/(callers|operators|peers)=//g' <<<"$line")
    entries+=("$callers")
    [ -n "$operator" ] || operator=$operators
    export DOGWOODPOND_ADDRESS=$operator
    post "$platform/stand-in/vms" "{\"id\":\"$name\",\"failureDomain\":\"$domain\",\"region\":\"tayside\",\"callerAddress\":\"$callers\",\"peerAddress\":\"$peers\"}"
  done
}

# grant <account> <share>: applies a contract and sets $key to a new key of the account.
grant() {
  echo "{\"account\":\"$1\",\"share\":$2,\"staleness\":{\"maxVersions\":2,\"maxSeconds\":600}}" >"$work/contract.json"
  "$ctl" contract apply "$work/contract.json" >/dev/null
  key=$("$ctl" key grant "$1")
}
