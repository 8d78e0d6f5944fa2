#!/usr/bin/env bash
# Measures the slopes that docs/CAPACITY.md multiplies: what an idle fleet costs
# by its number of agents and entries, and what a change and a task cost.
#
# Usage: scripts/slopes.sh [SECONDS]
set -u
cd "$(dirname "$0")/.."
seconds=${1:-20}
octet=${OCTET:-110}
bin=${BIN:-bin}
export BIN=$bin

# sample DIR: prints, for each program, the number of processes and the sums of
# processor seconds, bytes between processes and resident bytes.
sample() {
  local url urls
  for program in entry agent; do
    if [ $program = entry ]; then
      urls=$(grep -o '"api": "[^"]*"' "$1/fleet.json" | cut -d'"' -f4)
    else
      urls=$(grep -o '"status": "[^"]*"' "$1/fleet.json" | cut -d'"' -f4)
    fi
    for url in $urls; do curl -s "$url/metrics"; done | awk -v program=$program '
      $1 == "process_cpu_seconds_total" { cpu += $2; n++ }
      /^pollenfront_peer_bytes_total/ { bytes += $2 }
      $1 == "process_resident_memory_bytes" { resident += $2 }
      END { printf "%s %d %.3f %.0f %.0f\n", program, n, cpu, bytes, resident }'
  done
}

# rates BEFORE AFTER SECONDS: prints the use of one process of each program.
rates() {
  paste <(echo "$1") <(echo "$2") | awk -v s="$3" '{
    printf "  one %s of %d: %.3f%% of a core, %.0f bytes/s, %.1f MB resident\n", $1, $2, 100 * ($8 - $3) / s / $2, ($9 - $4) / s / $2, $10 / $2 / 1e6 }'
}

# fleet SERVERS ENTRIES: measures an idle fleet, then changes and their spread.
fleet() {
  local dir=run/slopes-$1-$2 api=http://127.$octet.1.1:8080 before after began i
  rm -rf "$dir"
  "$bin/standin" plan --dir "$dir" --octet "$octet" --servers "$1" --entries "$2"
  scripts/cluster.sh up "$dir" || return 1
  "$bin/pollenctl" --api "$api" <examples/tainan/setup.pf >/dev/null
  sleep 3
  echo "$1 agents, $(($2 * 3)) entries, idle for $seconds s:"
  before=$(sample "$dir")
  sleep "$seconds"
  after=$(sample "$dir")
  rates "$before" "$after" "$seconds"
  echo "  view: $(curl -s "$api/v1/operator/view" | tr -d ' \n' | wc -c) bytes"
  began=$(date +%s%N)
  for i in $(seq 20); do echo "set queue-depth $((i % 5))"; done | "$bin/pollenctl" --api "$api" >/dev/null
  echo "  20 changes accepted in $((($(date +%s%N) - began) / 1000000)) ms"
  began=$(date +%s%N)
  "$bin/pollenctl" --api "$api" set queue-depth 1 >/dev/null
  "$bin/pollenctl" --api "$api" watch >/dev/null && echo "  one change reported in force everywhere after $((($(date +%s%N) - began) / 1000000)) ms"
  before=$after
  after=$(sample "$dir")
  paste <(echo "$before") <(echo "$after") | awk '{ printf "  one %s: %.0f bytes and %.2f ms of a core for 21 changes, with the heartbeats of that time\n", $1, ($9 - $4) / $2, 1000 * ($8 - $3) / $2 }'
  if [ "$1" = 11 ] && [ "$2" = 1 ]; then
    before=$(sample "$dir")
    "$bin/standin" load --dir "$dir" --util 0.5 --for 20s --warm 0s >"$dir/report.txt"
    after=$(sample "$dir")
    tasks=$(grep -o 'succeeded [0-9]*' "$dir/report.txt" | cut -d' ' -f2)
    echo "under load, $tasks tasks in 20 s, all processes together:"
    paste <(echo "$before") <(echo "$after") | awk -v n="$tasks" '{ printf "  %s: %.0f µs of a core and %.0f bytes a task, %.1f MB resident each\n", $1, 1e6 * ($8 - $3) / n, ($9 - $4) / n, $10 / $2 / 1e6 }'
  fi
  scripts/cluster.sh down "$dir"
  octet=$((octet + 1))
}

fleet 11 1
fleet 33 1
fleet 99 1
fleet 33 2
