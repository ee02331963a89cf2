#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
# TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
dir=$(mktemp -d) || exit 2
target/review-2/case-10 "$dir" target/seamd review/10/record.txt
rc=$?
rm -rf "$dir"
test $rc -le 2 || rc=2
exit $rc
