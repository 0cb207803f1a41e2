#!/bin/sh
# Runs the case: exit status 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. With TROUBLE=0 it
# runs without the disruption. Needs the build of the deploy file and review/build-2.sh.
here=$(cd "$(dirname "$0")" && pwd) || exit 2
root=$(cd "$here/../.." && pwd) || exit 2
program=$root/review/standins-2/target/release/case
[ -x "$program" ] || { echo "run review/build-2.sh first"; exit 2; }
exec "$program" crowd "$root" "$here"
