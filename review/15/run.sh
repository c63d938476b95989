#!/bin/sh
# Runs the case; needs the build of the deploy file and review/build-3.sh. Exits with 1 if the rule was broken,
# 0 if it held, 2 if the case could not run. With TROUBLE=0 there is no disruption.
cd "$(dirname "$0")/../.." || exit 2
for program in target/release/buckthornfalld target/review-3/driver; do
    [ -x "$program" ] || { echo "$program is missing"; exit 2; }
done
target/review-3/driver release-after-removal review/15
code=$?
[ "$code" -le 1 ] || code=2
exit "$code"
