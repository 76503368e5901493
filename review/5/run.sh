#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. TROUBLE=0: without the disruption.
cd "$(dirname "$0")/../.." || exit 2
if [ ! -x target/hickoryknot ] || [ ! -x review/bin/review_standin ]; then
    echo "run the build of deploy/system.toml and review/build.sh first" >&2
    exit 2
fi
exec review/bin/review_standin replaced-route review/5/record.txt
