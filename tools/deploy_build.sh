#!/usr/bin/env bash
# Builds the deployment from a clean clone of the last commit, with the command
# that deploy/system.toml names, and checks that the program exists and accepts
# its settings. Usage: tools/deploy_build.sh
set -euo pipefail
cd "$(dirname "$0")/.."
clone=$PWD/build/deploy-clone
rm -rf "$clone" && mkdir -p build
git clone --quiet . "$clone"
cd "$clone"
read_field() {
  python3 - "$1" <<'PY'
import sys, tomllib
with open("deploy/system.toml", "rb") as file:
    deploy = tomllib.load(file)
gateway = deploy["roles"]["gateway"]
print(deploy["build"] if sys.argv[1] == "build" else gateway["run"].split()[0])
PY
}
# Relative paths allow cached objects of an earlier clone to be reused.
CCACHE_BASEDIR=$clone bash -c "$(read_field build)" >build.log 2>&1 ||
  { tail -50 build.log; exit 1; }
program=$(read_field run)
"$program" --version
"$program" check-gateway tests/gateway_settings.json
cd ../.. && rm -rf "$clone"
echo "deploy: built from a clean clone"
