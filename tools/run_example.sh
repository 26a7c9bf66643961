#!/usr/bin/env bash
# Installs the packages, builds, and runs the example deployment on loopback.
set -euo pipefail
cd "$(dirname "$0")/.."
tools/install_packages.sh
tools/build.sh
examples/deployment.sh build "$@"
