#!/bin/sh
# Creates target/opalcove-gateway.jsa, the class-data archive (CDS) with which the gateway starts faster and uses less
# memory, from one training run against the toy server. The gateway also runs without the archive, so a failure only
# prints a warning.
set -u
cd "$(dirname "$0")/.."
rm -f target/opalcove-gateway.jsa
java example/ToyServer.java try java -XX:+UseSerialGC -XX:TieredStopAtLevel=1 \
    -Xlog:disable -XX:ArchiveClassesAtExit=target/opalcove-gateway.jsa -jar target/opalcove-gateway.jar serve > target/archive.log 2>&1 \
    && test -s target/opalcove-gateway.jsa || echo "archive.sh: no class-data archive, see target/archive.log" >&2
