#!/bin/sh
# Builds the stand-ins that the scripts in review/4 to review/8 start. They use the standard library only.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2024 -O -o target/review-2/standin review/standin-2.rs
