#!/bin/sh
# Two clients with temporary tables of the same name.
# Exit codes: 1 the rule was broken, 0 it held, 2 the case could not run. TROUBLE=0 leaves the disruption out.
here=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$here/../.." && pwd)
stand="$root/review/stand2/target/release/stand2"
[ -x "$stand" ] || { echo "the case could not run: review/build-2.sh comes first"; exit 2; }
[ -x "$root/target/release/sillfold" ] || { echo "the case could not run: the deploy file's build comes first"; exit 2; }
exec "$stand" temp "$root" "$here"
