#!/usr/bin/env bash
# Needs the build of the deploy file and of review/build-3.sh. Exits with 1 if the rule was broken, 0 if
# it held, and 2 if the case couldn't run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
for program in target/release/jacinthfalld target/release/jacinthfall-standin-platform target/review-3/directory; do
    [ -x "$program" ] || { echo "$program is missing; build it first" >&2; exit 2; }
done
target/review-3/directory review/13
status=$?
[ "$status" -le 1 ] && exit "$status"
exit 2
