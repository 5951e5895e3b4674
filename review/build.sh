#!/bin/sh
# Builds the stand-ins of all cases. Needs the deploy file's build before it, and no network: the package has no dependency.
cd "$(dirname "$0")/stand" || exit 2
exec cargo build --release --locked --offline
