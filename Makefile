# Targets: all, check, demo, bench, measures, format, lint, clean. See README.md.

BUILD ?= build/plain
SAN ?=
CC = gcc
CXX = g++
PKGS = libcurl libmicrohttpd json-c libzmq mpack glib-2.0 libsodium liburcu-bp libxxhash
DEPS = pkg-config curl liburcu-dev libzmq3-dev libcivetweb-dev libglib2.0-dev \
	libjson-c-dev libmpack-dev libcurl4-openssl-dev libxxhash-dev \
	libsodium-dev libssl-dev libmicrohttpd-dev libgtest-dev

PKG_CFLAGS = $(shell pkg-config --cflags $(PKGS))
PKG_LIBS = $(shell pkg-config --libs $(PKGS))
WARN = -Wall -Wextra -Werror -Wshadow -Wstrict-prototypes -Wmissing-prototypes
CXXWARN = -Wall -Wextra -Werror -Wno-missing-field-initializers
BASE = -O2 -g -I. -D_GNU_SOURCE -DSEAM_INVARIANT_ABORT $(SAN) $(PKG_CFLAGS)
CFLAGS = -std=gnu11 $(WARN) $(BASE)
CXXFLAGS = -std=gnu++17 $(CXXWARN) $(BASE)
LIBS = $(PKG_LIBS) -lcivetweb -lpthread -lm

LIB_DIRS = base process version connection request platform fake
LIB_SRC = $(wildcard $(LIB_DIRS:%=%/*.c)) $(filter-out cmd/seam%.c,$(wildcard cmd/*.c))
LIB_OBJ = $(LIB_SRC:%.c=$(BUILD)/%.o)
LIB = $(BUILD)/libseam.a
PROGS = $(patsubst cmd/%.c,$(BUILD)/%,$(wildcard cmd/seam*.c))
TESTS = $(patsubst tests/%.cc,$(BUILD)/tests/%,$(wildcard tests/*_test.cc))
BENCHES = $(patsubst bench/%.c,$(BUILD)/bench/%,$(wildcard bench/*_bench.c))
ALL_C = $(wildcard $(LIB_DIRS:%=%/*.[ch]) cmd/*.[ch] bench/*.[ch] \
	tests/*.cc tests/*.h)

all: $(PROGS)

$(LIB): $(LIB_OBJ)
	@rm -f $@
	@ar rcs $@ $^

$(BUILD)/%.o: %.c
	@mkdir -p $(@D)
	@echo "CC $<"
	@$(CC) $(CFLAGS) -MMD -MP -c $< -o $@

$(BUILD)/tests/%.o: tests/%.cc
	@mkdir -p $(@D)
	@echo "CXX $<"
	@$(CXX) $(CXXFLAGS) -MMD -MP -c $< -o $@

$(BUILD)/seam%: $(BUILD)/cmd/seam%.o $(LIB)
	@$(CC) $(SAN) $< $(LIB) $(LIBS) -o $@

$(BUILD)/tests/%: $(BUILD)/tests/%.o $(LIB)
	@$(CXX) $(SAN) $< $(LIB) $(LIBS) -lgtest -lgtest_main -o $@

$(BUILD)/bench/%: $(BUILD)/bench/%.o $(LIB)
	@$(CC) $(SAN) $(filter %.o,$^) $(LIB) $(LIBS) -o $@

$(BUILD)/bench/measures_bench: $(patsubst %.c,$(BUILD)/%.o,\
	$(filter-out %_bench.c,$(wildcard bench/measures_*.c)))

.SECONDARY:

-include $(shell find $(BUILD) -name '*.d' 2>/dev/null)

deps:
	@dpkg -s $(DEPS) >/dev/null 2>&1 || \
		{ apt-get update -q && apt-get install -y -q $(DEPS); }

tests: $(TESTS)

bench: $(BENCHES)

check: deps
	@$(MAKE) -s -j$$(nproc) all tests
	@SEAM_BUILD=$(BUILD) tests/run $(BUILD)

measures: $(BUILD)/bench/measures_bench
	@python3 bench/measures.py $< docs/measures.svg

demo: deps
	@$(MAKE) -s -j$$(nproc) all
	@examples/demo $(BUILD)

format:
	clang-format -i $(ALL_C)

format-check:
	clang-format --dry-run --Werror $(ALL_C)

TIDY = $(filter %.c,$(ALL_C))
lint: $(TIDY:%=$(BUILD)/tidy/%.ok)

$(BUILD)/tidy/%.ok: % .clang-tidy
	@mkdir -p $(@D)
	@echo "TIDY $<"
	@clang-tidy --quiet $< -- -std=gnu11 -I. -D_GNU_SOURCE $(PKG_CFLAGS) \
		2>$@.log || { cat $@.log; exit 1; }
	@touch $@

clean:
	rm -rf build

.PHONY: all deps tests bench check measures demo format format-check lint clean
