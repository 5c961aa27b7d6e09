#!/usr/bin/env bash
# Builds the stand-ins of the cases of the second review. It needs no network.
set -euo pipefail
cd "$(dirname "$0")"
GOWORK=off go build -o rig2/bin/rig2 ./rig2
