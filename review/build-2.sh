#!/bin/sh
# Builds the stand-ins of the second review, which have no dependencies. The boxes are built by the deploy file.
cd "$(dirname "$0")/.." || exit 2
exec cargo build --release --offline --locked --manifest-path review/standins-2/Cargo.toml
