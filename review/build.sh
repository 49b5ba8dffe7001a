#!/usr/bin/env bash
# Builds the stand-ins that the cases start. They use only the standard library, so
# no network is needed.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --offline --locked \
  --manifest-path review/standin/Cargo.toml --target-dir target/review
