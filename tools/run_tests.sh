#!/usr/bin/env bash
# Installs the packages, builds, and runs all checks: format, lint, unit tests, stateful fuzz,
# process tests, counted costs and the example of the README. Known failures are listed in
# KNOWN-RED.txt.
set -euo pipefail
cd "$(dirname "$0")/.."
tools/install_packages.sh
tools/build.sh
tools/lint.sh
ctest --test-dir build --output-on-failure
tools/run_example.sh
if [ -s KNOWN-RED.txt ]; then
    echo "Known failures (KNOWN-RED.txt):"
    cat KNOWN-RED.txt
fi
