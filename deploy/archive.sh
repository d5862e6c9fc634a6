#!/bin/sh
# Makes target/opalcove-gateway.jsa, the class-data archive with which the gateway starts faster and on less memory: one
# rehearsal against the toy server. Without the archive the gateway runs all the same, so a failure only warns.
set -u
cd "$(dirname "$0")/.."
rm -f target/opalcove-gateway.jsa
java example/ToyServer.java try java -XX:+UseSerialGC -XX:TieredStopAtLevel=1 \
    -Xlog:disable -XX:ArchiveClassesAtExit=target/opalcove-gateway.jsa -jar target/opalcove-gateway.jar serve > target/archive.log 2>&1 \
    && test -s target/opalcove-gateway.jsa || echo "archive.sh: no class-data archive, see target/archive.log" >&2
