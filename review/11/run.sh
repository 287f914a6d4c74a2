#!/usr/bin/env bash
# A machine of the core is replaced as planned; one that remains loses its disk 2 s after the old one has ended.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0: without the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-3/standin ] && [ -x target/cicadapulley-platform ] || { echo "build first: fleetbench build, review/build-3.sh"; exit 2; }
exec target/review-3/standin replace-core review/11
