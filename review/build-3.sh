#!/usr/bin/env bash
# Builds the stand-ins of the cases of the third review. It needs no network.
set -euo pipefail
cd "$(dirname "$0")"
GOWORK=off go build -o rig3/bin/rig3 ./rig3
