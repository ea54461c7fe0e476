#!/bin/sh
# Builds the stand-ins that the scripts start, into review/build/.  Needs only
# packages that the build of the deploy file needs.
set -eu
cd "$(dirname "$0")/.."
CC=${CC:-cc}
mkdir -p review/build
$CC -O2 -std=gnu11 -D_GNU_SOURCE -Wall -pthread -Iregress -I. \
	$(pkg-config --cflags glib-2.0 jansson) -o review/build/fake-platform \
	regress/fake_platform.c regress/fake.c \
	$(pkg-config --libs glib-2.0 jansson) -largtable2
$CC -O2 -std=gnu11 -Wall -pthread -o review/build/gate review/standin/gate.c
