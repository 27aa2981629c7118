#!/usr/bin/env bash
# Builds the stand-ins of the scripts under review/. They need the standard library only.
set -euo pipefail
cd "$(dirname "$0")/standins"
cargo build --release --locked --offline
