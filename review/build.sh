#!/usr/bin/env bash
# Builds the stand-ins and drivers of the review cases, without a network.
set -euo pipefail
cd "$(dirname "$0")/standin"
cargo build --release --offline --target-dir ../../target/review
