#!/bin/sh
# Builds the stand-ins that the scripts of cases 11 to 15 start, into target/review-3/. Needs no package.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-3
rustc --edition 2021 -O -o target/review-3/driver review/stand-ins-3/main.rs
