#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0: no copies.
cd "$(dirname "$0")/../.." || exit 2
[[ -x build/heathflow && -x build-review-2/case-7 ]] || exit 2
exec build-review-2/case-7
