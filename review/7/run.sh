#!/bin/sh
# Plays the case after the build of the deploy file and review/build-2.sh. Exit code 0: the rule held, 1: it was broken,
# 2: the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-2/standin ] || exit 2
exec target/review-2/standin pending review/7/record.txt
