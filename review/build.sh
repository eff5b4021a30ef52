#!/bin/sh
# Builds the stand-ins that the scripts of the review start.
set -e
cd "$(dirname "$0")"
mkdir -p build
for name in rig/*.c; do
	name=$(basename "$name" .c)
	[ "$name" = rig ] && continue
	gcc -std=gnu11 -O1 -g -Wall -o "build/$name" "rig/$name.c" rig/rig.c \
		-pthread
done
