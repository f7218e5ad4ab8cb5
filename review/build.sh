#!/bin/sh
# Builds the stand-ins that the cases start. Run it after the build of `deploy/system.toml`.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2024 -O -o target/review/standin review/standin.rs
