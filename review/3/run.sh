#!/bin/sh
# Plays the case; TROUBLE=0 leaves the disruption out. Exit status: 1 if the rule was broken, 0 if it held, 2 if
# the case couldn't run.
folder=$(cd "$(dirname "$0")" && pwd) || exit 2
repository=$(cd "$folder/../.." && pwd) || exit 2
[ -x "$repository/review/bin/standin" ] && [ -x "$repository/target/dogwoodpondd" ] || exit 2
exec "$repository/review/bin/standin" sigterm "$repository" "$folder"
