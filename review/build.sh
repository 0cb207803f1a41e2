#!/bin/sh
# Builds the daemon, if it is missing, and the stand-ins of the cases. Needs no network: the stand-ins use the
# standard library only.
set -e
cd "$(dirname "$0")/.."
if [ ! -x target/release/comethitchd ]; then
    cargo build --release --locked
fi
cargo build --release --offline --locked --quiet --manifest-path review/standins/Cargo.toml --target-dir review/target
