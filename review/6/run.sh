#!/usr/bin/env bash
# Plays the case; claim.txt says what it shows. Exits with 1 if the rule was broken, 0 if it held
# and 2 if the case could not run. TROUBLE=0 plays it without the disruption.
set -uo pipefail
folder=$(cd "$(dirname "$0")" && pwd)
cd "$folder/../.."
program=target/review-standins-2/release/review-standins-2
if [ ! -x "$program" ] || [ ! -x target/release/siskinyoke-gateway ]; then
    echo "build the program as deploy/system.toml says, and run review/build-2.sh" >&2
    exit 2
fi
exec "$program" dark "$folder"
