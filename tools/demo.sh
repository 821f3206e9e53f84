#!/usr/bin/env bash
# Runs the demonstration. Usage: tools/demo.sh (after the build)
set -euo pipefail
cd "$(dirname "$0")/.."
exec timeout 180 build/tests/process/pimentoferry-demo
