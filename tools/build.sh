#!/usr/bin/env bash
# Builds everything into build/.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake -S . -B build -G Ninja -DCMAKE_BUILD_TYPE=RelWithDebInfo >build.log 2>&1 || { cat build.log; exit 1; }
rm -f build.log
cmake --build build
