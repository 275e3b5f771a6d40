#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves
# out the disruption. Needs the build of the deploy file and that of review/build-3.sh.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/banyanyard ] && [ -x target/review-3/stand ] || { echo "build first: see above" >&2; exit 2; }
RECORD=review/12/record.txt exec target/review-3/stand rollback
