#!/usr/bin/env bash
# Builds the stand-ins of the scripts in review/: one program without dependencies.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2024 -O -A dead_code -o target/review-2/rig review/rig-2/main.rs
