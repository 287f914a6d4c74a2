#!/usr/bin/env bash
# Starts control VMs, entries and agents as separate processes on loopback, without
# load, and prints the cost of control traffic for each role: processor time, bytes on
# connections (without TCP and IP headers) and memory.
# Usage: scripts/capacity.sh AGENTS [ENTRIES] [SECONDS]
# BASE_PORT     start of the port range (default 20000)
set -euo pipefail
cd "$(dirname "$0")/.."
agents=${1:?number of agents}
entries=${2:-3}
seconds=${3:-20}
base=${BASE_PORT:-20000}
dir=$(mktemp -d)
pids=()
cleanup() {
  for p in "${pids[@]}"; do kill "$p" 2>/dev/null || true; done
  for p in "${pids[@]}"; do wait "$p" 2>/dev/null || true; done
  rm -rf "$dir"
}
trap cleanup EXIT

control="\"127.0.0.1:$((base + 1))\",\"127.0.0.1:$((base + 2))\",\"127.0.0.1:$((base + 3))\""
common() { # id, port
  echo "\"id\":\"$1\",\"data_centre\":\"dc-1\",\"listen\":\"127.0.0.1:$2\",\"ops\":\"127.0.0.1:$(($2 + 1000))\",\"drain_ms\":500,\"log_level\":\"info\""
}
start() { # role, id
  bin/cicadapulleyd "$1" "$dir/$2.json" >"$dir/$2.out" 2>&1 &
  pids+=($!)
}

for i in 1 2 3; do
  bootstrap=false; [ "$i" = 1 ] && bootstrap=true
  echo "{$(common control-$i $((base + i))),\"data_dir\":\"$dir/data-$i\",\"bootstrap\":$bootstrap}" >"$dir/control-$i.json"
  start control control-$i
done
sleep 1
for i in 2 3; do
  id=$(grep -o '"event":300,"detail":"[0-9a-f]*"' "$dir/control-$i.out" | grep -o '[0-9a-f]\{32\}')
  bin/cicadapulley --control "127.0.0.1:$((base + 1))" group add "$id" "127.0.0.1:$((base + i))" >/dev/null
done
echo '{"number":1,"author":"capacity","services":[{"name":"demo","kinds":[{"name":"sleep","repeatable":true},{"name":"hold"}]}]}' >"$dir/ticket.json"
bin/cicadapulley --control "127.0.0.1:$((base + 1))" ticket apply "$dir/ticket.json" >/dev/null
for i in $(seq "$entries"); do
  echo "{$(common entry-$i $((base + 10 + i))),\"control\":[$control],\"callers\":\"127.0.0.1:$((base + 500 + i))\",\"balancer_wait_ms\":1}" >"$dir/entry-$i.json"
  start entry entry-$i
done
for i in $(seq "$agents"); do
  echo "{$(common agent-$i $((base + 100 + i))),\"control\":[$control],\"endpoint\":\"http://127.0.0.1:9/\",\"serves\":[{\"service\":\"demo\",\"kind\":\"sleep\"}],\"slots\":8,\"connections\":64}" >"$dir/agent-$i.json"
  start agent agent-$i
done
sleep $((5 + agents / 20))

sample() { # output file: role id cpu bytes rss
  : >"$1"
  for f in "$dir"/*.json; do
    id=$(basename "$f" .json)
    [ "$id" = ticket ] && continue
    port=$(sed 's/.*"ops":"127.0.0.1:\([0-9]*\)".*/\1/' "$f")
    curl -sS "http://127.0.0.1:$port/metrics" | awk -v id="$id" '
      /^process_cpu_seconds_total/ {cpu=$2}
      /^cicadapulley_network_(sent|received)_bytes_total/ {bytes+=$2}
      /^process_resident_memory_bytes/ {rss=$2}
      END {split(id, p, "-"); printf "%s %s %f %.0f %.0f\n", p[1], id, cpu, bytes, rss}' >>"$1"
  done
}
sample "$dir/before"
sleep "$seconds"
sample "$dir/after"
leader=$(bin/cicadapulley --control "127.0.0.1:$((base + 1))" status --output json | tr -d ' \n' | grep -o '"address":"[0-9.:]*"[^{}]*"leader":true' | grep -o '127[0-9.:]*' | head -1 || true)
paste -d' ' "$dir/before" "$dir/after" | awk -v n="$seconds" -v agents="$agents" -v entries="$entries" -v leader="$leader" '
  {role=$1; count[role]++; c=($8-$3)/n*100; b=($9-$4)/n; cpu[role]+=c; bytes[role]+=b; rss[role]+=$10
   if (c>mc[role]) mc[role]=c; if (b>mb[role]) mb[role]=b; if ($10>mr[role]) mr[role]=$10}
  END {printf "agents=%d entries=%d leader=%s\n", agents, entries, leader
       printf "%-8s %5s %10s %10s %12s %12s %8s %8s\n", "role", "n", "cpu% mean", "cpu% max", "B/s mean", "B/s max", "MB mean", "MB max"
       for (r in count) printf "%-8s %5d %10.2f %10.2f %12.0f %12.0f %8.1f %8.1f\n", r, count[r], cpu[r]/count[r], mc[r], bytes[r]/count[r], mb[r], rss[r]/count[r]/1048576, mr[r]/1048576}'
