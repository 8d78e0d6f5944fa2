#!/usr/bin/env bash
# Builds the stand-ins of the review's scripts into review/_bin.
set -eu
cd "$(dirname "$0")/.."
go build -o review/_bin/standin ./review/_standin
