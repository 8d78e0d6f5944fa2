#!/bin/bash
# Builds the program that the scripts of the cases 6 to 10 start. It has all of their stand-ins.
set -e
cd "$(dirname "$0")/.."
go build -o target/review-2/probes2 ./review/_probes2
