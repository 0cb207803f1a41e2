#!/bin/sh
# Runs the case once: exit status 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
# With TROUBLE=0 it does the same without the disruption.
here=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$here/../.." || exit 2
sh review/build.sh || exit 2
RUN=$(sed -n 's/^run = "\(.*\)"$/\1/p' deploy/balancer.toml)
WORK=$(mktemp -d) || exit 2
export RUN WORK
finish() {
    for file in "$WORK"/*.pid; do
        [ -f "$file" ] && kill -KILL "$(cat "$file")" 2>/dev/null
    done
    rm -rf "$WORK"
}
trap finish EXIT
trap 'exit 2' INT TERM HUP
timeout 110 review/target/release/standins shutdown "$here/record.txt"
status=$?
[ "$status" -le 1 ] || status=2
exit "$status"
