#!/usr/bin/env bash
# Lints one source file unless the same preprocessed unit was clean before.
# Usage: tools/tidy_one.sh FILE
set -euo pipefail
file=$1
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
        print(shlex.join(words + ["-E"]))
        break
PY
)
if [[ -z $command ]]; then
  echo "lint: $file is in no target"
  exit 1
fi
hash=$( (cd build && eval "$command" 2>/dev/null; echo "$tidy_settings_hash") |
  sha256sum | cut -d' ' -f1)
stamp=build/tidy/$(echo "$file" | tr '/' '_')
[[ -f $stamp && $(cat "$stamp") == "$hash" ]] && exit 0
log=$(mktemp)
if ! clang-tidy-16 --quiet -p build "$file" >"$log" 2>/dev/null; then
  cat "$log"
  rm -f "$log"
  exit 1
fi
rm -f "$log"
echo "$hash" >"$stamp"
