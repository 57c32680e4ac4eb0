#!/usr/bin/env bash
# Builds the stand-ins and the clients of the scripts. It needs no network: the harness
# uses the standard library only, and it is a module of its own, so that CI does not see it.
set -euo pipefail
cd "$(dirname "$0")/harness"
GOTOOLCHAIN=local GOWORK=off GOPROXY=off go build -o ../bin/harness .
