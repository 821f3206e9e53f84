#!/usr/bin/env bash
# Runs the formatter and the linter over all sources. Usage: tools/check.sh
# Expects a configured build directory (build/) with compile_commands.json.
set -euo pipefail
cd "$(dirname "$0")/.."

mapfile -t sources < <(git ls-files '*.cpp' '*.hpp')
clang-format-16 --dry-run --Werror "${sources[@]}"
echo "format: ${#sources[@]} files clean"

# Units that did not change since their last clean run are skipped: the stamp
# holds the hash of the preprocessed unit and of the linter's settings.
mkdir -p build/tidy
export tidy_settings_hash
tidy_settings_hash=$(sha256sum .clang-tidy | cut -d' ' -f1)
git ls-files '*.cpp' | xargs -P "$(( $(nproc) / 2 ))" -n 1 tools/tidy_one.sh
echo "lint: $(git ls-files '*.cpp' | wc -l) units clean"
