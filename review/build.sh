#!/usr/bin/env bash
# Builds the cases' stand-ins into review/bin. Needs a C++20 compiler, nothing else.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p bin
for source in [123]/case.cpp; do
  number=${source%%/*}
  "${CXX:-g++}" -std=c++20 -O1 -Wall -Wextra -pthread -I stand_ins "$source" -o "bin/case$number" &
done
wait
for source in [123]/case.cpp; do test -x "bin/case${source%%/*}"; done
