#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
for program in target/cluster/indigofold-control target/cluster/indigofold-data; do
    [ -x "$program" ] || { echo "$program is missing: run the build command of deploy/system.toml first"; exit 2; }
done
sh review/build.sh || exit 2
exec target/review/standin late-greeting review/3/record.txt target/cluster
