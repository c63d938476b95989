#!/usr/bin/env bash
# Plays the case; see claim.txt. Run review/build.sh first.
cd "$(dirname "$0")/../.."
[ -x target/review/standins ] && [ -x target/release/buckthornfalld ] || exit 2
exec target/review/standins event-data review/4
