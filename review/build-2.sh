#!/bin/sh
# Builds the stand-in that the scripts of review/6, 7, 9 and 10 start.
set -eu
cd "$(dirname "$0")/standin-2"
mkdir -p ../../target/review-2
gcc -std=gnu11 -O2 -g -Wall -Wextra -D_GNU_SOURCE -pthread \
	-o ../../target/review-2/sim sim.c cases.c -lmicrohttpd -ljansson
