#!/bin/sh
# Builds the stand-ins that the scripts of this review start. They need the standard library only.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2021 -O -o target/review-2/stage review/stand-ins-2/main.rs
