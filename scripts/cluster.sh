#!/usr/bin/env bash
# Runs the processes that `standin plan` has laid out, each under a loop that
# starts it again when it ends, as a platform does.
#
# Usage:
#   scripts/cluster.sh up DIR      start all processes and wait until ready
#   scripts/cluster.sh down DIR    stop all of them, by their recorded IDs
set -u

bin=${BIN:-bin}
restart_delay=${RESTART_DELAY:-1}

# keep NAME COMMAND: runs one process until DIR/stop exists.
keep() {
  local name=$1 command=$2
  while [ ! -e "$dir/stop" ]; do
    if [ ! -e "$dir/hold.$name" ]; then
      # shellcheck disable=SC2086
      $bin/$command >>"$dir/$name.log" 2>&1 &
      echo $! >"$dir/$name.pid"
      wait $!
      echo "exit $? at $(date +%s.%N)" >>"$dir/$name.exits"
    fi
    sleep "$restart_delay"
  done
}

up() {
  rm -f "$dir/stop" "$dir"/hold.*
  : >"$dir/keepers"
  while IFS=$'\t' read -r name command; do
    keep "$name" "$command" </dev/null >/dev/null 2>&1 &
    echo $! >>"$dir/keepers"
  done <"$dir/processes"
  local entries url ready
  entries=$(grep -o '"api": "[^"]*"' "$dir/fleet.json" | cut -d'"' -f4)
  for _ in $(seq 200); do
    ready=1
    for url in $entries; do
      curl -sf -m 1 "$url/readyz" >/dev/null || ready=0
    done
    [ $ready = 1 ] && return 0
    sleep 0.1
  done
  echo "the entries are not ready; see the logs in $dir" >&2
  return 1
}

down() {
  touch "$dir/stop"
  local pattern pid
  for pattern in "agent-*" "entry-*" "*"; do
    for pid in $(cat "$dir"/$pattern.pid 2>/dev/null); do
      kill -CONT "$pid" 2>/dev/null
      kill -TERM "$pid" 2>/dev/null
    done
    [ "$pattern" = "*" ] || wait_gone "$dir"/$pattern.pid
  done
  wait_gone "$dir"/*.pid
  for pid in $(cat "$dir/keepers" 2>/dev/null); do
    while kill -0 "$pid" 2>/dev/null; do sleep 0.1; done
  done
}

# wait_gone FILE...: waits for processes to end, and kills those that do not.
wait_gone() {
  local file pid
  for file in "$@"; do
    pid=$(cat "$file" 2>/dev/null) || continue
    for _ in $(seq 350); do
      kill -0 "$pid" 2>/dev/null || break
      sleep 0.1
    done
    kill -KILL "$pid" 2>/dev/null
  done
}

action=${1:-}
dir=${2:-}
if [ -z "$dir" ]; then
  sed -n '2,8p' "$0" >&2
  exit 2
fi
case $action in
  up) up ;;
  down) down ;;
  *) sed -n '2,8p' "$0" >&2; exit 2 ;;
esac
