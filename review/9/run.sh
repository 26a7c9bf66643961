#!/usr/bin/env bash
# Exit code: 1 the rule was broken, 0 it held, 2 the case could not run. TROUBLE=0: no disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-2/case-9 ] && [ -x target/ibiswelld_platform ] || exit 2
target/review-2/case-9 review/9
