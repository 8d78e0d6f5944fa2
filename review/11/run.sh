#!/usr/bin/env bash
# An agent that froze before, and a zone that loses power with late orders. TROUBLE=0 leaves all of this
# out, FREEZE=0 only the freezes.
cd "$(dirname "$0")/../.." || exit 2
exec target/review3/_probes3 tokens review/11/record.txt
