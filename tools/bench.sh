#!/usr/bin/env bash
# Runs the benchmarks and prints their tables; the last two lines are the
# summary of the policy benchmark. Usage: tools/bench.sh (after the build)
set -euo pipefail
cd "$(dirname "$0")/.."
echo "== cost of membership and tickets (virtual time)"
timeout 600 build/bench/control_cost
echo "== cost of at-most-once records (virtual time)"
timeout 300 build/bench/once_cost
echo "== cost of a placement decision"
timeout 300 build/bench/decision_cost --benchmark_min_time=0.2
echo "== latency added by an entry (real processes)"
timeout 120 build/tests/process/relay_latency
echo "== placement policy (virtual time)"
timeout 900 build/bench/policy_bench --csv build/policy.csv
echo "== stream scheduler, memory that binds (virtual time)"
timeout 600 build/bench/stream_policy
