#!/bin/sh
# Builds the stand-ins and the tests of the second review into review/standins-2/target. Run it after the build of the
# deploy file.
set -eu
cd "$(dirname "$0")/.."
rm -rf review/standins-2/target
mkdir -p review/standins-2/target
find review/standins-2 review/6 review/7 review/8 review/9 review/10 -name '*.java' \
    -exec javac --release 17 -Xlint:all -Werror -d review/standins-2/target {} +
