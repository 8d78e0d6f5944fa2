#!/usr/bin/env bash
# Measures the dispatch policy on loopback fleets and writes the tables and
# plots of docs/measurements/.
#
# Usage:
#   scripts/bench.sh                 all rows, PAR (default 4) fleets at a time
#   scripts/bench.sh ROW...          some rows, for example tainan/morning/0.8/expected
#
# A row is DEPLOYMENT/MIX/UTILIZATION/POLICY[/EVENT]. Events: burst, cancel,
# never, slow, fail-all, zone, table, leave.
set -u
cd "$(dirname "$0")/.."
seconds=${SECONDS_PER_ROW:-25}
out=${OUT:-run/bench}
mkdir -p "$out"

rows() {
  local d m u p e
  for d in tainan andino; do
    for m in morning evening; do
      for u in 0.5 0.8 0.95 1.2; do
        for p in expected least-outstanding two-choices round-robin random; do
          echo "$d/$m/$u/$p"
        done
      done
    done
    for e in burst cancel never slow fail-all zone table; do
      echo "$d/morning/0.6/expected/$e"
      echo "$d/morning/0.6/least-outstanding/$e"
    done
  done
}

# one ROW OCTET: runs one row on a fleet of its own.
one() {
  local row=$1 octet=$2 d m u p e dir api options=() started
  IFS=/ read -r d m u p e <<<"$row"
  dir="$out/fleet-$octet"
  api="http://127.$octet.1.1:8080"
  rm -rf "$dir"
  bin/standin plan --deployment "$d" --dir "$dir" --octet "$octet" || return 1
  scripts/cluster.sh up "$dir" || return 1
  { cat "examples/$d/setup.pf"; echo "set policy $p"; } | bin/pollenctl --api "$api" >/dev/null || return 1
  [ "$e" = burst ] && options+=(--burst 1.5)
  [ "$e" = cancel ] && options+=(--cancel 0.2)
  [ "$e" = never ] && options+=(--never 0.05)
  bin/standin load --dir "$dir" --util "$u" --mix "$m" --seed 7 --warm 5s --for "${seconds}s" "${options[@]}" \
    --json "$out/${row//\//_}.json" >"$out/${row//\//_}.txt" &
  started=$!
  event "$e" "$d" "$octet" "$api" "$dir"
  wait $started
  scripts/cluster.sh down "$dir"
}

# event EVENT DEPLOYMENT OCTET API DIR: orders the event of a row in mid-run.
event() {
  local zone=west server=swap-01 ip=127.$3.1.11
  [ "$2" = andino ] && zone=quito-north && server=pairing-01
  case $1 in
    slow) sleep 10; curl -s "http://$ip:7200/faults" -d '{"speed": 0.2}' >/dev/null ;;
    fail-all) sleep 10; curl -s "http://$ip:7200/faults" -d '{"fail": true}' >/dev/null ;;
    zone)
      sleep 9
      bin/pollenctl --api "${4/127.$3.1.1/127.$3.2.1}" take out zone $zone >"$5/take-out.txt" 2>&1
      sleep 9
      bin/pollenctl --api "${4/127.$3.1.1/127.$3.2.1}" return zone $zone >"$5/return.txt" 2>&1 ;;
    table) sleep 9; curl -s "http://127.$3.9.1:7900/faults" -d '{"down": true}' >/dev/null
      sleep 9; curl -s "http://127.$3.9.1:7900/faults" -d '{}' >/dev/null ;;
  esac
}

if [ $# -gt 0 ]; then
  printf '%s\n' "$@"
else
  rows
fi | {
  octet=${OCTET:-60}
  par=${PAR:-4}
  first=$octet
  while read -r row; do
    one "$row" "$octet" </dev/null &
    octet=$((octet + 1))
    [ $octet -ge $((first + 40)) ] && octet=$first
    while [ "$(jobs -rp | wc -l)" -ge "$par" ]; do sleep 0.2; done
  done
  wait
}
bin/standin table --dir "$out" --plots "${PLOTS:-$out}" >"$out/table.md"
cat "$out/table.md"
