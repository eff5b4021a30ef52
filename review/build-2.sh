#!/bin/sh
# Builds the programs of the cases of the second review into review/.build.
set -e
cd "$(dirname "$0")/.."
mkdir -p review/.build
for case in odd_key pipelined_stop kept_memory odd_number hup_start; do
	${CC:-gcc} -std=gnu11 -O2 -Wall -Wextra -Wno-unused-parameter \
		-Wno-format-truncation -o "review/.build/$case" \
		"review/$case.c" review/rig-2.c \
		$(pkg-config --cflags --libs jansson) -lpthread
done
