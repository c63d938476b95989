#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 leaves out the
# disruption. SEED chooses the luck, which is another one each time if it isn't set.
cd "$(dirname "$0")" && exec ../../target/review-2/stage slow-pages "$PWD"
