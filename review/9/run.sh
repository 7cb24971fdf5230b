#!/usr/bin/env bash
# Plays the case early-answer; see claim.txt. TROUBLE=0 leaves the disruption out.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
set -u
folder=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$folder/../.." || exit 2
trouble=true
if [ "${TROUBLE:-1}" = 0 ]; then trouble=false; fi
timeout -k 5 110 target/review-2/stand2 -record "$folder/record.txt" -trouble=$trouble early-answer
code=$?
case $code in 0 | 1) exit $code ;; esac
exit 2
