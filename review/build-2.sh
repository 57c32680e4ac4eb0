#!/usr/bin/env bash
# Builds the stand-ins and the clients that the scripts of the second review start. It needs no network: they use the
# standard library only and are a module of their own, which CI does not see.
set -euo pipefail
cd "$(dirname "$0")/rig2"
GOTOOLCHAIN=local GOWORK=off GOPROXY=off go build -buildvcs=false -o ../../target/review2/rig2 .
