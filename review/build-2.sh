#!/bin/sh
# Builds the stand-ins of the cases 6 to 10 into build/review-2, after the build of deploy/balancer.toml. Needs
# the C++ compiler alone.
set -eu
cd "$(dirname "$0")/.."
mkdir -p build/review-2
for case in restarts duplicate bounded; do
  "${CXX:-g++}" -std=c++20 -O1 -Wall -Wextra -o "build/review-2/$case" "review/stand_ins_2/$case.cpp" review/stand_ins_2/stage.cpp
done
