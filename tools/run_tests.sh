#!/usr/bin/env bash
# Runs all tests of build/. The tests of process_test run one by one: one that
# fails is passed over, and printed, only if KNOWN-RED.txt has an entry that
# begins with "process_test, NAME". Usage: tools/run_tests.sh
set -euo pipefail
cd "$(dirname "$0")/.."
ctest --test-dir build --output-on-failure -j 4 -E '^process_test$'

suite='pimentoferry::process_tests::(anonymous namespace)::failure_test'
mapfile -t names < <(tr -d ' \n' <tests/process/failure_test.cpp |
  grep -oE 'CPPUNIT_TEST\([a-z0-9_]+\)' | sed -E 's/.*\((.*)\)/\1/')
[[ ${#names[@]} -gt 0 ]]
for name in "${names[@]}"; do
  if timeout 600 build/tests/process/process_test "$suite::$name"; then
    echo "process_test, $name: passed"
  elif grep -q "^process_test, $name " KNOWN-RED.txt; then
    echo "process_test, $name: failed, known"
  else
    echo "process_test, $name: failed"
    exit 1
  fi
done
