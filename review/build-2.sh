#!/usr/bin/env bash
# Builds the stand-ins that the cases of the second review start. They use the standard library only.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2024 -O review/standin-2/main.rs -o target/review/standin-2
