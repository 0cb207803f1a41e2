#!/bin/sh
# Builds the stand-ins of the cases 6 to 10. They have no dependencies, so no registry is needed.
set -e
cd "$(dirname "$0")/standins-2"
exec cargo build --release --locked --offline --target-dir target
