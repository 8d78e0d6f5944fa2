#!/usr/bin/env bash
# A queue with as many attempts as a number holds, and two runners that fail some of what they start. TROUBLE=0
# leaves the failures out.
cd "$(dirname "$0")/../.." || exit 2
exec target/review3/_probes3 attempts review/12/record.txt
