#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/cactusproxyd ] && [ -x target/review-stand ] || exit 2
# TROUBLE=0: the same without the disruption; the stand reads it from the environment.
export TROUBLE="${TROUBLE:-1}"
exec timeout -k 5 110 target/review-stand poison-of-one-caller review/1/record.txt
