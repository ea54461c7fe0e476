#!/bin/sh
# Builds the stand-ins that the scripts start, into review/build/.
set -eu
cd "$(dirname "$0")/.."
make -j4 BUILD=review/build review/build/fake-platform
${CC:-cc} -O2 -Wall -pthread -o review/build/gate review/standin/gate.c
