#!/usr/bin/env bash
# Checks what the scripts of the cases need. Their stand-ins are Python programs that use only the
# standard library, so nothing has to be compiled; the node is built by the deploy file.
set -euo pipefail
cd "$(dirname "$0")"
command -v python3 >/dev/null || { echo "python3 is missing"; exit 1; }
python3 - lib/*.py [0-9]*/*.py <<'PYTHON'
import ast
import sys

if sys.version_info < (3, 9):
    sys.exit("python3 is older than 3.9")
for name in sys.argv[1:]:
    with open(name, encoding="utf-8") as file:
        ast.parse(file.read(), name)
PYTHON
echo "review: the stand-ins can be run"
