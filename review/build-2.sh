#!/bin/sh
# Builds the stand-ins and the tests of the second review (cases 6 to 10) into review/standins-2/target. Needs the JDK
# alone; run it after the build of the deploy file.
set -eu
cd "$(dirname "$0")/standins-2"
rm -rf target
mkdir -p target
javac --release 17 -Xlint:all -Werror -d target *.java
