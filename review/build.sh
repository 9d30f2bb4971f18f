#!/bin/sh
# Builds the stand-ins of the review's scripts. They use the standard library alone.
cd "$(dirname "$0")/.." || exit 2
exec cargo build --release --offline --locked --manifest-path review/standins/Cargo.toml --target-dir target/review
