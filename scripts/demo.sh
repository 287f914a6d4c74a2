#!/usr/bin/env bash
# Starts a development system, submits a job twice and prints the number of starts
# of each task, which must be one.
set -euo pipefail
cd "$(dirname "$0")/.."
listen=127.0.0.1:${PORT:-18080}
data=$(mktemp -d)
bin/cicadapulleyd dev --listen "$listen" --data "$data" >"$data/out" 2>"$data/log" &
daemon=$!
trap 'kill $daemon; wait $daemon || true; rm -rf "$data"' EXIT
for _ in $(seq 100); do
  grep -q '^ready' "$data/out" && break
  sleep 0.1
done
cat "$data/out"
job='{"id":"demo-1","caller":"desk","service":"demo","deadline_ms":5000,"tasks":[
  {"kind":"sleep","payload":{"ms":50,"echo":"quote"}},
  {"kind":"hold","payload":{"ms":120,"echo":"hold"}}]}'
curl -sS "http://$listen/v1/jobs" -d "$job"; echo
curl -sS "http://$listen/v1/jobs?wait=1" -d "$job"; echo
echo "starts of each task: $(curl -sS "http://$listen/dev/starts?caller=desk&job=demo-1")"
