#!/bin/bash
# Builds the stand-ins of the scripts, into build/review (not in git).
set -e
cd "$(dirname "$0")/.."
mkdir -p build/review
pkgs="glib-2.0 json-c libmicrohttpd libcurl"
gcc -std=gnu11 -O2 -g -Wall -Wextra -D_GNU_SOURCE \
	$(pkg-config --cflags $pkgs) -o build/review/standin \
	review/standin/*.c $(pkg-config --libs $pkgs) -lpthread
