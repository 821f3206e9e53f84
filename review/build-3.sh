#!/bin/sh
# Builds the stand-ins of the scripts of review 3 into review/lib-3/bin.
# Needs g++ and libjsoncpp-dev, which the deploy file's packages hold.
set -eu
cd "$(dirname "$0")/lib-3"
mkdir -p bin
for source in *.cc; do
    [ -e "$source" ] || continue
    program="bin/${source%.cc}"
    if [ ! -x "$program" ] || [ -n "$(find . -maxdepth 1 -newer "$program" \
        \( -name "$source" -o -name '*.hh' \))" ]; then
        g++ -std=c++20 -O1 -g -Wall -o "$program" "$source" -ljsoncpp -lpthread
    fi
done
