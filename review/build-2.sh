#!/usr/bin/env bash
# Builds the stand-ins of the cases in review/6 to review/10. Needs no network.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --offline --locked --manifest-path review/standin-2/Cargo.toml --target-dir target/review-standin-2
