#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
folder=$(cd "$(dirname "$0")" && pwd)
cd "$folder/../.." || exit 2
[ -f target/review/FrozenEntry.class ] && [ -f target/sardineshunt-platform.jar ] || exit 2
exec java -Xmx256m -cp target/review FrozenEntry "$folder"
