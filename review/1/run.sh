#!/usr/bin/env bash
# TWICE: an entry that freezes and wakes starts the jobs of callers that have left.
cd "$(dirname "$0")/../.." || exit 2
[ -x review/_bin/standin ] && [ -x target/entry ] && [ -x target/agent ] || exit 2
# TROUBLE=0 leaves the disruption out; the stand-in reads it.
export TROUBLE="${TROUBLE:-1}"
exec review/_bin/standin freeze review/1
