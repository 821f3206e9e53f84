#!/usr/bin/env bash
# Runs the formatter and the linter over all sources. Usage: tools/check.sh
# Requires a configured build directory (build/) with compile_commands.json.
set -euo pipefail
cd "$(dirname "$0")/.."

mapfile -t sources < <(git ls-files '*.cpp' '*.hpp')
clang-format-16 --dry-run --Werror "${sources[@]}"
echo "format: ${#sources[@]} files clean"

git ls-files '*.cpp' | xargs -P "$(( $(nproc) / 2 ))" -n 1 tools/tidy_one.sh
echo "lint: $(git ls-files '*.cpp' | wc -l) units clean"
