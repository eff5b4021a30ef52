#!/bin/sh
# Builds the programs of the cases of the third review into review/.build.
set -e
cd "$(dirname "$0")/.."
mkdir -p review/.build
for case in stale_target; do
	${CC:-gcc} -std=gnu11 -O2 -Wall -Wextra -Wno-unused-parameter \
		-Wno-format-truncation -o "review/.build/$case" \
		"review/$case.c" review/rig-3.c \
		$(pkg-config --cflags --libs jansson) -lpthread
done
