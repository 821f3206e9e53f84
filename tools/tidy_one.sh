#!/usr/bin/env bash
# Lints one source file unless the same preprocessed text has passed before.
# Usage: tools/tidy_one.sh FILE
# Passed files are recorded in the user's cache under the hash of the text and
# of the linter's settings, so that all work trees of this user share them.
set -euo pipefail
file=$1
cache=${XDG_CACHE_HOME:-$HOME/.cache}/pimentoferry-tidy
mkdir -p "$cache"
command=$(python3 - "$file" <<'PY'
import json, os, shlex, sys
path = os.path.abspath(sys.argv[1])
for unit in json.load(open("build/compile_commands.json")):
    if os.path.abspath(os.path.join(unit["directory"], unit["file"])) == path:
        words = shlex.split(unit["command"])
        if "ccache" in words[0]:
            words = words[1:]
        out = words.index("-o")
        del words[out:out + 2]
        words.remove("-c")
        print(shlex.join(words + ["-E", "-P"]))
        break
PY
)
if [[ -z $command ]]; then
  echo "lint: $file is in no target"
  exit 1
fi
# The preprocessor removes NOLINT comments, so the text of the file itself is
# part of the hash.
hash=$( (cd build && eval "$command" 2>/dev/null; cd ..; cat "$file" .clang-tidy) |
  sha256sum | cut -d' ' -f1)
[[ -e $cache/$hash ]] && exit 0
log=$(mktemp)
if ! clang-tidy-16 --quiet -p build "$file" >"$log" 2>/dev/null; then
  cat "$log"
  rm -f "$log"
  exit 1
fi
rm -f "$log"
touch "$cache/$hash"
