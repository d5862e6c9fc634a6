#!/bin/sh
# Builds the stand-ins and the cases into review/target. Needs the JDK alone; run it after the build of the deploy file.
set -eu
cd "$(dirname "$0")"
rm -rf target
mkdir -p target
javac -Xlint:all -d target standins/*.java [0-9]/*.java
