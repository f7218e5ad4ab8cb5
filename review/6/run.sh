#!/bin/sh
# Plays the case "refused-planned" on loopback. Ends with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
# TROUBLE=0 leaves the disruption out. Takes the program of the deploy file and what review/build-2.sh builds.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/system/badgerstream-pooler ] && [ -x target/review-2/standin ] || exit 2
folder=$(mktemp -d) || exit 2
target/review-2/standin refused-planned --trouble "${TROUBLE:-1}" --folder "$folder" --record review/6/record.txt
result=$?
rm -rf "$folder"
[ "$result" -le 1 ] || exit 2
exit "$result"
