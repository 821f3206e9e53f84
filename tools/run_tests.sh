#!/usr/bin/env bash
# Runs all tests of build/. The tests of the suites below run one by one: one
# that fails is passed over, and printed, only if KNOWN-RED.txt has an entry
# that begins with "SUITE, NAME". Usage: tools/run_tests.sh
set -euo pipefail
cd "$(dirname "$0")/.."
ctest --test-dir build --output-on-failure -j 4 \
  -E '^(process_test|gateway_link_test)$'

# Usage: run_one_by_one LABEL PROGRAM SUITE SOURCE; the tests are those that
# SOURCE registers.
run_one_by_one() {
  local label=$1 program=$2 suite=$3 names name
  mapfile -t names < <(tr -d ' \n' <"$4" |
    grep -oE 'CPPUNIT_TEST\([a-z0-9_]+\)' | sed -E 's/.*\((.*)\)/\1/')
  [[ ${#names[@]} -gt 0 ]]
  for name in "${names[@]}"; do
    if timeout 600 "$program" "$suite::$name"; then
      echo "$label, $name: passed"
    elif grep -q "^$label, $name " KNOWN-RED.txt; then
      echo "$label, $name: failed, known"
    else
      echo "$label, $name: failed"
      exit 1
    fi
  done
}

run_one_by_one process_test build/tests/process/process_test \
  'pimentoferry::process_tests::(anonymous namespace)::failure_test' \
  tests/process/failure_test.cpp
for suite in isolated_gateway_test stale_gateway_test; do
  run_one_by_one "$suite" build/tests/soak/gateway_link_test \
    "pimentoferry::soak::(anonymous namespace)::$suite" "tests/soak/$suite.cpp"
done
