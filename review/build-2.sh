#!/bin/sh
# Builds the stand-ins of the cases 6 to 10, after the deploy file's build. It needs no network: the package has no
# dependencies.
set -eu
cd "$(dirname "$0")/stand2"
exec cargo build --release --locked --offline --target-dir target
