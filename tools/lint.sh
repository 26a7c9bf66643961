#!/usr/bin/env bash
# Checks formatting and lints all sources.
set -euo pipefail
cd "$(dirname "$0")/.."
mapfile -t files < <(git ls-files '*.h' '*.cpp')
clang-format --dry-run --Werror "${files[@]}"
# The linter cannot read the compiler's precompiled header, so it gets commands without one.
cmake -S . -B build/lint -G Ninja -DCMAKE_DISABLE_PRECOMPILE_HEADERS=ON >/dev/null
mapfile -t sources < <(git ls-files '*.cpp' | grep -v asio_impl.cpp)
log=$(mktemp)
trap 'rm -f "$log"' EXIT
if ! printf '%s\n' "${sources[@]}" \
    | xargs -P "$(nproc)" -n 1 clang-tidy -p build/lint --quiet >"$log" 2>/dev/null; then
    cat "$log"
    echo "lint: errors found"
    exit 1
fi
echo "format and lint: clean"
