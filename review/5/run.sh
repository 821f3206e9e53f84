#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
folder=$(cd "$(dirname "$0")" && pwd)
cd "$folder/../.." || exit 2
program=review/build/case-$(basename "$folder")
[ -x "$program" ] && [ -x target/pimentoferry/cli/pimentoferry ] || exit 2
exec "$program" "$folder"
