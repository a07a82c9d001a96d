#!/bin/sh
# One of two servers sends some answers twice, late, while clients charge deposits by an unsafe route.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 leaves the disruption out.
here=$(cd "$(dirname "$0")" && pwd) || exit 2
root=$(cd "$here/../.." && pwd) || exit 2
if [ ! -x "$root/target/review-standin-2" ] || [ ! -x "$root/target/dogwoodpondd" ]; then
	echo "build first: the deploy file, then review/build-2.sh" >&2
	exit 2
fi
ROOT="$root" RECORD="$here/record.txt" exec "$root/target/review-standin-2" extra-answers
