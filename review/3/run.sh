#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held and 2 if the case couldn't run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/traildrift ] && [ -x target/review/stage ] || { echo "build first: deploy/system.toml, then review/build.sh" >&2; exit 2; }
trouble=true
[ "$TROUBLE" = 0 ] && trouble=false
exec target/review/stage -case drain -routers 2 -trouble=$trouble -out review/3
