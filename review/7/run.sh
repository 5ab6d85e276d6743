#!/usr/bin/env bash
# Runs after the build of the deploy file and review/build-2.sh. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
proxy=target/bin/rosemaryhinge-platformd
world=target/review-2/world2
[ -x "$proxy" ] && [ -x "$world" ] || { echo "not built" >&2; exit 2; }
exec timeout -s KILL 115 "$world" unlisted-proxy "$proxy" review/7/record.txt
