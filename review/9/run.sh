#!/usr/bin/env bash
# Runs case 9: exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. With TROUBLE=0
# without the disruption. Needs the build of the deploy file and review/build-2.sh.
cd "$(dirname "$0")/../.." || exit 2
[ -x build-review-2/case-9 ] && [ -x build/finchstile ] || exit 2
exec build-review-2/case-9 "$PWD" "$PWD/review/9"
