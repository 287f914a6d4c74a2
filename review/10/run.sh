#!/usr/bin/env bash
# Plays the case of this folder; see claim.txt. Exit status 1: the rule was broken, 0: it
# held, 2: the case couldn't run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-standin-2 ] && [ -x target/cicadapulley-platform ] || { echo "build first: the deploy file's build line, review/build-2.sh" >&2; exit 2; }
exec timeout -k 5 118 target/review-standin-2 roll review/10
