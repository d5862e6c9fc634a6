#!/bin/sh
# Each request must get its whole final answer. Exits with 1 if the rule was broken, 0 if it held,
# 2 if the case couldn't run; TROUBLE=0 runs it without the disruption.
cd "$(dirname "$0")" || exit 2
[ -f ../target/HeldBack.class ] && [ -f ../../target/opalcove-gateway.jar ] || { echo "not built" >&2; exit 2; }
exec java -XX:+UseSerialGC -Xmx512m -cp ../target HeldBack "$(cd ../.. && pwd)" "$PWD/record.txt"
