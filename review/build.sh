#!/usr/bin/env bash
# Builds the stand-ins and the programs of the cases into review/build; needs only the packages of the deploy file.
set -euo pipefail
cd "$(dirname "$0")"
rm -rf build
mkdir -p build
flags=(-std=c++20 -O1 -Wall -Wextra -pthread)
jobs=()
for source in harness/*.cpp [1-5]/*.cpp; do
    object="build/$(echo "${source%.cpp}" | tr / -).o"
    g++ "${flags[@]}" -c "$source" -o "$object" &
    jobs+=($!)
done
for job in "${jobs[@]}"; do
    wait "$job"
done
for source in [1-5]/*.cpp; do
    name="$(echo "${source%.cpp}" | tr / -)"
    g++ -pthread "build/$name.o" build/harness-*.o -lboost_json -o "build/$name"
done
