#!/bin/sh
# Exits with 1 if the rule of claim.txt was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: no disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/bramblespur ] && [ -x target/review-2/stand ] || exit 2
exec target/review-2/stand sick-machine review/8/record.txt
