#!/bin/bash
# Builds the stand-ins of the cases into review/bin, with the libraries that the program itself uses.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p bin
flags=$(pkg-config --cflags --libs libevent_core libevent_extra)
for source in standins/*.cpp; do
  # shellcheck disable=SC2086
  g++ -std=c++20 -O1 -Wall -Wextra -o "bin/$(basename "$source" .cpp)" "$source" $flags
done
