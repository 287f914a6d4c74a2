#!/bin/sh
# Runs the set of measurements on development systems on this machine and appends
# a table of the results to docs/measurements.md. Traffic stays on loopback, ports
# 18200 to 18250. Each run starts its own system and ends it by its process ID.
#
# usage: scripts/bench.sh [TITLE]   TITLE is part of the heading on the page
# RUNS          repetitions of the runs at load factor 0.7 (default 2)
# SECONDS_EACH  duration of the arrivals of a run in seconds (default 7)
# QUIET         longest wait in seconds for a less busy machine before a run (default 5)
# KEEP          folder to which reports, plots and the log are copied (default none)
set -eu
cd "$(dirname "$0")/.."
TITLE=${1:-set of measurements}
RUNS=${RUNS:-2}
EACH=${SECONDS_EACH:-7}
QUIET=${QUIET:-5}
PORT=18200
WORK=$(mktemp -d)
PID=
stop() {
  [ -z "$PID" ] && return
  kill "$PID" 2>/dev/null || true
  wait "$PID" 2>/dev/null || true
  PID=
}
trap 'stop; rm -rf "$WORK"' EXIT
trap 'exit 1' INT TERM

kinds=quote,check,order,curing,plan,route,renewal,statement

# start PROFILE FLAGS... starts a system and waits until it is ready.
start() {
  profile=$1; shift
  speeds=$(sed -n 's/.*"speeds": \[\(.*\)\].*/\1/p' "examples/profiles/$profile.json" | tr -d ' ')
  PORT=$((PORT + 2)); [ "$PORT" -gt 18248 ] && PORT=18202
  data=$(mktemp -d "$WORK/data.XXXXXX")
  bin/cicadapulleyd dev --listen "127.0.0.1:$PORT,127.0.0.1:$((PORT + 1))" --data "$data" \
    --controls 3 --workers 11 --speeds "$speeds" --slots 8 --link 0.5ms --sync 4ms \
    --kinds "$kinds" --log-level error "$@" >"$data/out" 2>>"$WORK/log" &
  PID=$!
  tries=0
  until grep -q '^ready' "$data/out"; do
    tries=$((tries + 1))
    [ "$tries" -gt 100 ] && { echo "development system not ready after 10 s; its log:" >&2; cat "$WORK/log" >&2; exit 1; }
    sleep 0.1
  done
}

# quiet waits, for QUIET seconds at most, until processes have waited for a CPU in
# less than 15% of the last 10 s.
quiet() {
  waited=0
  while [ "$waited" -lt "$QUIET" ] && [ -r /proc/pressure/cpu ]; do
    busy=$(sed -n 's/^some avg10=\([0-9]*\).*/\1/p' /proc/pressure/cpu)
    [ "$busy" -lt 15 ] && return
    sleep 1
    waited=$((waited + 1))
  done
}

number=10
status=0
# run PROFILE NAME "DEV FLAGS" LOAD FLAGS... makes one measurement.
run() {
  profile=$1; name=$2; flags=$3; shift 3
  quiet
  # shellcheck disable=SC2086 # flags must be split into words
  start "$profile" $flags
  number=$((number + 1))
  bin/cicadapulley load --name "$name" --profile "examples/profiles/$profile.json" \
    --entry "http://127.0.0.1:$PORT,http://127.0.0.1:$((PORT + 1))" --duration "${EACH}s" \
    --report "$WORK/$number.json" --plot "$WORK/$number.svg" "$@" || status=1
  stop
}

for i in $(seq "$RUNS"); do
  for profile in dala hsinchu; do
    run $profile "$profile 0.7 steady" "" --steady --seed "$i"
  done
  for strategy in two_choices random; do
    run dala "dala 0.7 steady, $strategy" "--dispatch $strategy" --steady --seed "$i"
  done
done
for profile in dala hsinchu; do
  run $profile "$profile 0.7 with bursts" ""
  run $profile "$profile 0.7 steady, three faulty workers" "" --steady --faults fail=worker-4,slow=worker-7,silent=worker-10
done
run dala "dala 2x" "" --steady --factor 2
run dala "dala 4x" "" --steady --factor 4

page=docs/measurements.md
[ -f "$page" ] || printf '# Measurements\n\nRounds of `make bench`, newest last.\n' >"$page"
{
  printf '\n## %s, commit %s: %s\n\n' "$(date -u +%Y-%m-%d\ %H:%M)" "$(git rev-parse --short HEAD)" "$TITLE"
  bin/cicadapulley load table "$WORK"/*.json
} >>"$page"
if [ -n "${KEEP:-}" ]; then mkdir -p "$KEEP"; cp "$WORK"/*.json "$WORK"/*.svg "$WORK/log" "$KEEP/"; fi
exit $status
