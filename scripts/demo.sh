#!/usr/bin/env bash
# Shows pollenfront on loopback: for each deployment it starts the platform,
# three entries in three zones and eleven backend servers with agents, submits
# the jobs of examples/, drains a zone under load, and checks that no answer is
# missing or doubled. It stops everything that it started.
set -u
cd "$(dirname "$0")/.."
status=0
octet=${OCTET:-10}
dir=
trap '[ -n "$dir" ] && scripts/cluster.sh down "$dir"' EXIT

# submit FILE API: submits a job of examples/ under a new ID and prints its answer.
submit() {
  local id answer
  id=$(curl -sf -X POST "$2/v1/job-ids" | sed -n 's/.*"id": "\(.*\)".*/\1/p')
  answer=$(sed "s/@ID@/$id/" "$1" | curl -s "$2/v1/jobs" -d @-)
  echo "$answer" | tr -d '\n ' | cut -c1-160
  echo
  echo "$answer" | grep -q '"status": "complete"' || { echo "FAILED: $1 was not answered in full"; status=1; }
  bin/pollenctl --api "$2" why job "$id" | head -4
}

# deployment NAME ZONE: runs one deployment.
deployment() {
  local name=$1 zone=$2 api=http://127.$octet.2.1:8080
  dir=run/demo-$name
  rm -rf "$dir"
  echo "== $name: starting"
  bin/standin plan --deployment "$name" --dir "$dir" --octet "$octet"
  scripts/cluster.sh up "$dir" || return 1
  bin/pollenctl --api "$api" <"examples/$name/setup.pf" >/dev/null || return 1
  echo "== $name: jobs"
  local file
  for file in examples/"$name"/*.json; do
    echo "-- $file"
    submit "$file" "$api"
  done
  echo "== $name: draining zone $zone under load"
  bin/standin load --dir "$dir" --util 0.4 --for 8s --warm 0s --double 0.05 --history "$dir/load.jsonl" >"$dir/report.txt" &
  local load=$!
  sleep 2
  bin/pollenctl --api "$api" take out zone "$zone"
  bin/pollenctl --api "$api" watch || status=1
  sleep 2
  bin/pollenctl --api "$api" show zones
  bin/pollenctl --api "$api" return zone "$zone"
  wait $load || status=1
  cat "$dir/report.txt"
  bin/standin check --history "$dir/load.jsonl" || status=1
  grep -qE '^  (lost|failed|outcome-unknown|refused)' "$dir/report.txt" && { echo "FAILED: an answer is missing"; status=1; }
  scripts/cluster.sh down "$dir"
  dir=
  octet=$((octet + 1))
}

deployment tainan west || status=1
deployment andino quito-north || status=1
[ $status = 0 ] && echo "the demo passed"
exit $status
