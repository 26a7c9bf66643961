#!/usr/bin/env bash
# Installs the Debian packages that the build and the tests need.
set -euo pipefail
packages=(build-essential cmake ninja-build clang-format clang-tidy valgrind curl
    libboost1.81-dev libboost-json1.81-dev libboost-program-options1.81-dev
    libcereal-dev libfmt-dev libssl-dev libxxhash-dev
    doctest-dev librapidcheck-dev libbenchmark-dev)
missing=()
for package in "${packages[@]}"; do
    dpkg -s "$package" >/dev/null 2>&1 || missing+=("$package")
done
if [ "${#missing[@]}" -gt 0 ]; then
    as_root=""
    [ "$(id -u)" -eq 0 ] || as_root="sudo"
    $as_root apt-get update
    DEBIAN_FRONTEND=noninteractive $as_root apt-get install -y --no-install-recommends "${missing[@]}"
fi
