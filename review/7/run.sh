#!/bin/bash
# Exits with 1 if the rule was broken, 0 if it held and 2 if the case couldn't run. TROUBLE=0
# leaves the disruption out. Build first: the deploy file's build, then review/build-2.sh.
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
[ -x target/release/jacinthfalld ] && [ -x target/release/review-rig-2 ] || exit 2
exec timeout --kill-after=5 110 target/release/review-rig-2 silent "$here/record.txt"
