#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -f review/standins-2/target/SlowReader.class ] && [ -f target/opalcove-gateway.jar ] || { echo "not built" >&2; exit 2; }
exec java -XX:+UseSerialGC -Xmx512m -cp review/standins-2/target SlowReader review/8
