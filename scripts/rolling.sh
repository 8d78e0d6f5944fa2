#!/usr/bin/env bash
# Restarts all entries and then all agents in a planned way, one at a time, under
# load. Exit status 0 means that no caller heard an error that the load alone
# would not have caused, and that the history breaks no promise.
set -u
cd "$(dirname "$0")/.."
bin=${BIN:-bin}
export BIN=$bin
octet=${OCTET:-16}
dir=run/rolling
rm -rf "$dir"
"$bin/standin" plan --deployment tainan --dir "$dir" --octet "$octet" || exit 2
trap 'scripts/cluster.sh down "$dir"' EXIT
scripts/cluster.sh up "$dir" || exit 2
"$bin/pollenctl" --api "http://127.$octet.1.1:8080" <examples/tainan/setup.pf >/dev/null || exit 2
"$bin/standin" load --dir "$dir" --util 0.5 --for "${FOR:-70s}" --warm 0s --double 0.05 --history "$dir/load.jsonl" >"$dir/report.txt" &
load=$!
sleep 3
for process in $(cut -f1 "$dir/processes" | grep -E '^(entry|agent)-' | sort -r); do
  pid=$(cat "$dir/$process.pid")
  kill -TERM "$pid"
  while [ "$(cat "$dir/$process.pid")" = "$pid" ]; do sleep 0.1; done
  sleep 2
done
echo "all processes were restarted; the load goes on: $(kill -0 $load 2>/dev/null && echo yes || echo no)"
wait $load || exit 2
cat "$dir/report.txt"
"$bin/standin" check --history "$dir/load.jsonl" || exit 1
if grep -qE '^  (lost|failed|not-run|refused|outcome-unknown)' "$dir/report.txt"; then
  echo "FAILED: a caller heard an error"
  exit 1
fi
