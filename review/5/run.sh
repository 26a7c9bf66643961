#!/usr/bin/env bash
# Plays the case; TROUBLE=0 plays it without the disruption. Exits with 1 if the rule was broken, 0
# if it held, and 2 if the case could not run. What was sent, answered and run is in record.txt.
cd "$(dirname "$0")" || exit 2
command -v python3 >/dev/null || { echo "python3 is missing"; exit 2; }
exec env PYTHONDONTWRITEBYTECODE=1 python3 case.py
