#!/bin/sh
# Builds every stand-in that the scripts of review/4 and later start. Needs the packages of the deploy file only.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
${CXX:-g++} -std=c++20 -O1 -Wall -Wextra review/standins-2/world.cpp review/standins-2/cases.cpp \
  -o target/review-2/cases -levent
