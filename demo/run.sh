#!/usr/bin/env bash
# Runs a deployment of three availability zones on one machine. Entries and agents
# are separate processes; the platform and the backend servers are simulated by
# processes of the standin command. All processes listen on free loopback ports and
# are stopped when the script exits.
set -euo pipefail
cd "$(dirname "$0")/.."
bin_dir=bin
work_dir=$(mktemp -d)
pids=()

stop_processes() {
  local status=$?
  trap - EXIT
  # Stops processes in reverse start order, so that entries drain while their agents
  # still run.
  for ((i = ${#pids[@]} - 1; i >= 0; i--)); do
    kill -TERM "${pids[i]}" 2>/dev/null || true
    wait "${pids[i]}" 2>/dev/null || true
  done
  local running=0
  for pid in "${pids[@]}"; do
    if kill -0 "$pid" 2>/dev/null; then running=$((running + 1)); fi
  done
  echo "stopped: ${#pids[@]} processes were started, $running are still running"
  if [ "$status" -ne 0 ]; then tail -n 5 "$work_dir"/*.log; fi
  rm -rf "$work_dir"
  exit "$status"
}
trap stop_processes EXIT

# start_process NAME COMMAND... runs a command in the background and writes its output
# to NAME.log.
start_process() {
  local name=$1
  shift
  "$@" >"$work_dir/$name.log" 2>&1 &
  pids+=($!)
}

# wait_for_log NAME PATTERN waits until a line of NAME.log matches and prints the line.
wait_for_log() {
  for _ in $(seq 600); do
    if grep -m1 -E "$2" "$work_dir/$1.log" 2>/dev/null; then return 0; fi
    sleep 0.05
  done
  echo "timed out waiting for $1 to log a line that matches: $2" >&2
  return 1
}

# log_field KEY prints the value of KEY=VALUE in the log line on standard input.
log_field() { sed -E "s/.* $1=([^ ]+).*/\1/"; }

# standin_url NAME prints the URL on which a standin process listens.
standin_url() { wait_for_log "$1" '^listening ' | cut -d' ' -f2; }

# print_common_settings NAME ZONE LISTENERS prints the settings that entries and agents
# share. LISTENERS holds further lines of the listen section.
print_common_settings() {
  cat <<YAML
name: $1
zone: $2
listen:
  peers: 127.0.0.1:0
  admin: 127.0.0.1:0
$3
keys:
  authority: $work_dir/ca.pem
  certificate: $work_dir/$1.pem
  key: $work_dir/$1.key
  callers_certificate: $work_dir/$1.pem
  callers_key: $work_dir/$1.key
  ticket: $work_dir/ticket.key
platform:
  url: $platform
YAML
}

zones=(ga-1 ga-2 nc-1)
key_owners=()
for zone in "${zones[@]}"; do
  key_owners+=("entry-$zone:entry" "draft-$zone-1:agent" "draft-$zone-2:agent" "pledge-$zone:agent")
done

echo "building the binaries"
go build -o $bin_dir/ ./cmd/... ./internal/standin/cmd/standin
$bin_dir/standin keys "$work_dir" "${key_owners[@]}" "operator:operator"

start_process platform $bin_dir/standin platform
platform=$(standin_url platform)

instances=""
# add_instance NAME ZONE ROLE ADDRESS FIELDS adds an instance to the JSON list that the
# platform serves. FIELDS holds further JSON fields.
add_instance() { instances="$instances${instances:+,}{\"name\":\"$1\",\"zone\":\"$2\",\"role\":\"$3\",\"address\":\"$4\"$5}"; }

# start_agent NAME ZONE KIND TARGET STANDIN... starts a simulated backend server with the
# arguments STANDIN and an agent for it. KIND is group or service, and TARGET its name.
start_agent() {
  local name=$1 zone=$2 kind=$3 target=$4
  shift 4
  start_process "$name-backend" $bin_dir/standin "$@"
  local backend
  backend=$(standin_url "$name-backend")
  print_common_settings "$name" "$zone" "" >"$work_dir/$name.yaml"
  printf 'agent:\n  backend: %s\n  %s: %s\n' "$backend" "$kind" "$target" >>"$work_dir/$name.yaml"
  start_process "$name" $bin_dir/bluebellwindd agent -c "$work_dir/$name.yaml"
  add_instance "$name" "$zone" server "$(wait_for_log "$name" event=listening | log_field peers)" ",\"$kind\":\"$target\""
}

caller_addresses=()
peer_addresses=()
for zone in "${zones[@]}"; do
  start_agent "draft-$zone-1" "$zone" group drafts engine
  start_agent "draft-$zone-2" "$zone" group drafts engine
  start_agent "pledge-$zone" "$zone" service pledges service
done
for zone in "${zones[@]}"; do
  print_common_settings "entry-$zone" "$zone" "  callers: 127.0.0.1:0" >"$work_dir/entry-$zone.yaml"
  printf "entry:\n  drain_grace: 100ms\n" >>"$work_dir/entry-$zone.yaml"
  start_process "entry-$zone" $bin_dir/bluebellwindd entry -c "$work_dir/entry-$zone.yaml"
  line=$(wait_for_log "entry-$zone" event=listening)
  caller_addresses+=("$(echo "$line" | log_field callers)")
  peer_addresses+=("$(echo "$line" | log_field peers)")
  add_instance "entry-$zone" "$zone" entry "$(echo "$line" | log_field peers)" ""
done
{
  echo "entries: [$(IFS=,; echo "${peer_addresses[*]}")]"
  echo "authority: $work_dir/ca.pem"
  echo "certificate: $work_dir/operator.pem"
  echo "key: $work_dir/operator.key"
} >"$work_dir/client.yaml"
export BLUEBELLWIND_CONFIG=$work_dir/client.yaml

echo "[$instances]" >"$work_dir/instances.json"
$bin_dir/standin put "$platform/operator/instances" "$work_dir/instances.json"

cp examples/canopy-pledge/rules.bbw "$work_dir/rules.bbw"
echo "checking and publishing the rules of the Canopy Pledge Cooperative"
$bin_dir/bluebellwind rules check "$work_dir/rules.bbw"
$bin_dir/standin put "$platform/operator/config/rules" "$work_dir/rules.bbw"
$bin_dir/bluebellwind rollout --revision 1 --wait
$bin_dir/bluebellwind status

send_load() {
  $bin_dir/standin load --token demo-delta-timber-donors "$@" \
    $(printf -- '--entries %s ' "${caller_addresses[@]}")
}
echo "sending pledge, draft and streaming requests through ${#caller_addresses[@]} entries in ${#zones[@]} zones"
send_load

echo "changing one rule: only organisation tidewater-nursery may use model species-qa"
sed -E 's/^route model species-qa to/route model species-qa organisation tidewater-nursery to/' "$work_dir/rules.bbw" >"$work_dir/rules2.bbw"
$bin_dir/bluebellwind rules diff "$work_dir/rules.bbw" "$work_dir/rules2.bbw" || true
$bin_dir/standin put "$platform/operator/config/rules" "$work_dir/rules2.bbw"
$bin_dir/bluebellwind rollout --revision 2 --wait
if send_load --model species-qa --pledges 0 --drafts 1 --streams 0 2>"$work_dir/refused.log"; then
  echo "a species-qa request of organisation delta-timber-donors succeeded despite the changed rule" >&2
  exit 1
fi
echo "a species-qa request of organisation delta-timber-donors is now refused immediately:"
sed -nE 's/.*"verdict":"([^"]+)","reason":"([^"]+)".*/  verdict: \1, reason: \2/p' "$work_dir/refused.log"
send_load
