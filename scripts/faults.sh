#!/usr/bin/env bash
# Runs a fleet under load and a seeded schedule of faults, then checks the
# history. Exit status 0 means that no promise was broken.
#
# Usage: SEED=n [FOR=40s] [UTIL=0.5] [DEPLOYMENT=tainan] [MIX=morning] scripts/faults.sh
set -u
cd "$(dirname "$0")/.."
bin=${BIN:-bin}
export BIN=$bin
seed=${SEED:-1}
length=${FOR:-40s}
deployment=${DEPLOYMENT:-tainan}
dir=${DIR:-run/faults-$deployment-$seed}
octet=${OCTET:-20}

rm -rf "$dir"
"$bin/standin" plan --deployment "$deployment" --dir "$dir" --octet "$octet" || exit 2
trap 'scripts/cluster.sh down "$dir"' EXIT
scripts/cluster.sh up "$dir" || exit 2
"$bin/pollenctl" --api "http://127.$octet.1.1:8080" <"examples/$deployment/setup.pf" >/dev/null || exit 2

"$bin/standin" load --dir "$dir" --for "$length" --util "${UTIL:-0.5}" --mix "${MIX:-morning}" --seed "$seed" \
  --double 0.1 --cancel 0.02 --fail 0.01 --warm 0s --history "$dir/load.jsonl" --json "$dir/report.json" >"$dir/report.txt" &
load=$!
"$bin/standin" faults --dir "$dir" --seed "$seed" --for "$length" --history "$dir/operators.jsonl"
wait $load || exit 2
cat "$dir/report.txt"
echo "work-seconds done in each second:"
grep -o '"work": [0-9.]*' "$dir/report.json" | cut -d' ' -f2 | xargs printf '%.0f '
echo
"$bin/standin" check --history "$dir/load.jsonl" "$dir/operators.jsonl"
