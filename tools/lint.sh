#!/usr/bin/env bash
# Checks formatting and lints all sources. Usage: tools/lint.sh BUILD_FOLDER
set -euo pipefail
cd "$(dirname "$0")/.."
build=${1:?build folder}
mapfile -t files < <(git ls-files '*.h' '*.cpp')
clang-format --dry-run --Werror "${files[@]}"
mapfile -t sources < <(git ls-files '*.cpp' | grep -v -e asio_impl.cpp)
printf '%s\n' "${sources[@]}" \
    | xargs -P "$(nproc)" -n 2 clang-tidy -p "$build" --quiet 2> >(grep -v "warnings generated" >&2 || true)
echo "formatting and lint: clean"
