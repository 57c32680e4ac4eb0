#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the second review start. It needs the standard library only.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -buildvcs=false -tags review2 -o target/review2/rig2 ./review/rig2
