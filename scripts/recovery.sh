#!/usr/bin/env bash
# Kills an owner under load and states the time until jobs are accepted again
# for the IDs that it owned, and what its callers heard.
#
# Usage: scripts/recovery.sh [table|zone]
#   table: the table goes down two seconds before the kill
#   zone:  another zone is taken out two seconds before the kill
set -u
cd "$(dirname "$0")/.."
export BIN=${BIN:-bin}
case=${1:-plain}
octet=${OCTET:-15}
dir=run/recovery-$case
api=http://127.$octet.2.1:8080

rm -rf "$dir"
$BIN/standin plan --deployment tainan --dir "$dir" --octet "$octet" --entries "${ENTRIES:-1}" || exit 2
trap 'scripts/cluster.sh down "$dir"' EXIT
scripts/cluster.sh up "$dir" || exit 2
$BIN/pollenctl --api "$api" <examples/tainan/setup.pf >/dev/null || exit 2
$BIN/standin load --dir "$dir" --util 0.5 --for 30s --warm 0s --history "$dir/load.jsonl" --json "$dir/report.json" >"$dir/report.txt" &
load=$!
sleep 8
case $case in
  table) curl -s "http://127.$octet.9.1:7900/faults" -d '{"down": true}' >/dev/null ;;
  zone) $BIN/pollenctl --api "$api" take out zone anping ;;
esac
sleep 2
touch "$dir/hold.entry-west-1"
kill -KILL "$(cat "$dir/entry-west-1.pid")"
killed=$(date -u +%Y-%m-%dT%H:%M:%S.%NZ)
echo "killed entry-west-1 at $killed"
wait $load || exit 2
$BIN/standin check --history "$dir/load.jsonl"
checked=$?
cat "$dir/report.txt"
$BIN/standin gap --history "$dir/load.jsonl" --owner entry-west-1 --entries entry-anping-1,entry-east-1,entry-west-1 --killed "$killed"
exit $checked
