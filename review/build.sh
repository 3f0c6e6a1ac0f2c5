#!/bin/sh
# Builds the stand-ins that the scripts start, with the Rust compiler alone.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2024 -O review/standin/main.rs -o target/review/standin
