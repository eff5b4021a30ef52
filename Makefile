# make deps     install the declared Debian packages
# make          build build/cowslippoint
# make check    format, lint, build, all tests, sanitizers
# make bench-sim  latency and goodput of the request path, simulated
# make demo     the whole system on loopback
# make bench    load bench (SCENARIO=name: one scenario)
# make soak     faults on real processes (SEED=n FOR=seconds; soak-seeds: all
#               that once failed); hosts are built like VARIANT
# make fuzz     short fuzzing of all decoders (RUNS=n; DECODERS=names)
# make capacity slopes of cost for docs/CAPACITY.md
# VARIANT=asan|tsan builds into build/asan or build/tsan.

PACKAGES = gcc make pkg-config clang clang-format clang-tidy git \
	libapr1-dev libaprutil1-dev libmicrohttpd-dev libargtable2-dev \
	libglib2.0-dev libtirpc-dev rpcsvc-proto libjansson-dev libxxhash-dev \
	libcurl4-openssl-dev libhttp-parser-dev
LIBS = apr-1 libmicrohttpd glib-2.0 libtirpc jansson libxxhash libcurl

comma = ,
VARIANT ?=
BUILD = build
OUT = $(BUILD)$(if $(VARIANT),/$(VARIANT))
SANITIZE_asan = -fsanitize=address,undefined -fno-sanitize-recover=undefined
SANITIZE_tsan = -fsanitize=thread
CC = gcc
CPPFLAGS = -I. -Isrc -Itests -Itools $(shell pkg-config --cflags $(LIBS))
CFLAGS = -std=gnu11 -O2 -g -Wall -Wextra -Werror -Wshadow -Wvla \
	-Wmissing-prototypes -Wstrict-prototypes -Wno-unused-parameter \
	-fno-omit-frame-pointer -fPIC -fvisibility=hidden \
	$(SANITIZE_$(VARIANT))
# rpcgen output is committed as generated.
CFLAGS_GENERATED = -Wno-unused-variable -Wno-missing-prototypes \
	-Wno-cast-function-type -Wno-strict-prototypes
LDLIBS = $(shell pkg-config --libs $(LIBS)) -lhttp_parser -largtable2 -lpthread -lm

SRC = $(sort $(shell find src platform -name '*.c'))
LIB_OBJ = $(patsubst %.c,$(OUT)/%.o,$(filter-out src/main.c,$(SRC)))
# tests/test_*.c and tests/prop_*.c are one test program each; the other
# files directly under tests/ are shared by them.
TEST_SRC = $(sort $(wildcard tests/test_*.c tests/prop_*.c))
TEST_SHARED = $(filter-out $(TEST_SRC),$(sort $(wildcard tests/*.c)))
TEST_BIN = $(patsubst tests/%.c,$(OUT)/%,$(TEST_SRC))
STANDIN_OBJ = $(patsubst %.c,$(OUT)/%.o,$(sort $(wildcard tests/standin/*.c)))
SOAK_OBJ = $(patsubst %.c,$(OUT)/%.o,$(sort $(wildcard tests/soak/*.c)) \
	tests/proc.c tests/client.c tests/caller.c tests/store_client.c \
	$(filter-out tests/standin/main%.c, \
	$(sort $(wildcard tests/standin/*.c))))
CAPACITY_OBJ = $(patsubst %.c,$(OUT)/%.o,$(sort $(wildcard tools/capacity/*.c)))
BENCH_OBJ = $(patsubst %.c,$(OUT)/%.o,$(sort $(wildcard tools/bench/*.c tests/naive/*.c)))
DEMO_OBJ = $(patsubst %.c,$(OUT)/%.o,$(sort $(wildcard tools/demo/*.c)) \
	tests/proc.c tests/client.c tests/standin/corpus.c)
BENCH_SIM_OBJ = $(patsubst %.c,$(OUT)/%.o,$(wildcard tools/bench_sim/*.c) \
	$(wildcard tests/sim*.c))
PROGRAMS = $(OUT)/cowslippoint $(if $(STANDIN_OBJ),$(OUT)/standin) \
	$(if $(BENCH_OBJ),$(OUT)/bench)
FORMATTED = $(filter-out src/codec/peer.h src/codec/peer_xdr.c,$(shell find src platform tests tools -name '*.[ch]'))

all: $(PROGRAMS)

deps:
	apt-get update -qq
	DEBIAN_FRONTEND=noninteractive apt-get install -y -qq $(PACKAGES)

$(OUT)/%.o: %.c Makefile
	@mkdir -p $(dir $@)
	@echo "CC $@"
	@$(CC) $(CPPFLAGS) $(CFLAGS) \
		$(if $(findstring codec/peer_xdr.,$<),$(CFLAGS_GENERATED)) \
		-MMD -MP -c -o $@ $<

$(OUT)/libcowslippoint.a: $(LIB_OBJ)
	@rm -f $@
	@ar rcs $@ $^

$(OUT)/libcowslippoint.so: $(LIB_OBJ)
	@echo "LD $@"
	@$(CC) $(CFLAGS) -shared -o $@ $^ $(LDLIBS)

# Loads the library when it runs; src/main.c says why. A sanitizer looks up the
# functions that it replaces when the process starts, so that the libraries have
# to be there then.
$(OUT)/cowslippoint: $(OUT)/src/main.o $(OUT)/src/base/signals.o \
		$(OUT)/src/base/clock.o $(OUT)/libcowslippoint.so
	@echo "LD $@"
	@$(CC) $(CFLAGS) -Wl,-rpath,'$$ORIGIN' -o $@ $(filter %.o,$^) \
		$(if $(VARIANT),-Wl$(comma)--no-as-needed $(LDLIBS))

$(OUT)/standin: $(STANDIN_OBJ) $(OUT)/libcowslippoint.a
	@echo "LD $@"
	@$(CC) $(CFLAGS) -o $@ $^ $(LDLIBS)

$(OUT)/bench: $(BENCH_OBJ) $(OUT)/libcowslippoint.a
	@echo "LD $@"
	@$(CC) $(CFLAGS) -o $@ $^ $(LDLIBS)

$(OUT)/capacity: $(CAPACITY_OBJ) $(OUT)/tools/bench/proc.o $(OUT)/libcowslippoint.a
	@echo "LD $@"
	@$(CC) $(CFLAGS) -o $@ $^ $(LDLIBS)

$(OUT)/demo-run: $(DEMO_OBJ) $(OUT)/libcowslippoint.a
	@echo "LD $@"
	@$(CC) $(CFLAGS) -o $@ $^ $(LDLIBS)

$(OUT)/soak-run: $(SOAK_OBJ) $(OUT)/libcowslippoint.a
	@echo "LD $@"
	@$(CC) $(CFLAGS) -o $@ $^ $(LDLIBS)

# Faults on real processes: SEED and FOR (seconds) choose the run.
soak: $(OUT)/cowslippoint $(OUT)/standin $(OUT)/soak-run
	$(OUT)/soak-run --seed $(or $(SEED),1) --for $(or $(FOR),60)

# Every seed that once failed, for as long as it took then.
soak-seeds: $(OUT)/cowslippoint $(OUT)/standin $(OUT)/soak-run
	awk '!/^#/ { print $$1 }' tests/soak/SEEDS | \
		xargs -I{} $(OUT)/soak-run --seed {} --for 40

# A short run of libFuzzer over each decoder, from a fixed seed. RUNS sets its
# length, DECODERS chooses the decoders. New inputs go to the build folder.
DECODERS = target host config rollout store answer request peer head
FUZZ_FLAGS = -fsanitize=fuzzer,address,undefined -fno-sanitize-recover=undefined
FUZZ_SRC = tests/fuzz/fuzz_decoders.c $(wildcard platform/*_json.c \
	platform/platform_*.c src/codec/*.c src/model/*.c src/base/*.c \
	src/decide/*.c)
FUZZ_OBJ = $(patsubst %.c,$(BUILD)/fuzz/%.o,$(FUZZ_SRC))

$(BUILD)/fuzz/%.o: %.c
	@mkdir -p $(dir $@)
	@echo "CC $@"
	@clang $(CPPFLAGS) -std=gnu11 -O1 -g $(FUZZ_FLAGS) -MMD -MP -c -o $@ $<

$(BUILD)/fuzz/fuzz: $(FUZZ_OBJ)
	@echo "LD $@"
	@clang $(FUZZ_FLAGS) -o $@ $^ $(LDLIBS)

fuzz: $(BUILD)/fuzz/fuzz
	@for d in $(DECODERS); do \
		mkdir -p $(BUILD)/fuzz/new/$$d; \
		DECODER=$$d $(BUILD)/fuzz/fuzz -seed=1 \
			-runs=$(or $(RUNS),20000) -max_len=16384 -timeout=10 \
			-artifact_prefix=$(BUILD)/fuzz/$$d- \
			$(BUILD)/fuzz/new/$$d tests/fuzz/corpus/$$d \
			>$(BUILD)/fuzz/$$d.log 2>&1 || \
			{ tail -n 40 $(BUILD)/fuzz/$$d.log; exit 1; }; \
		echo "fuzz $$d: $$(tail -n 1 $(BUILD)/fuzz/$$d.log)"; \
	done

demo: $(OUT)/cowslippoint $(OUT)/standin $(OUT)/demo-run
	$(OUT)/demo-run
# Simulation of the request path; not part of check.
$(OUT)/bench-sim: $(BENCH_SIM_OBJ) $(OUT)/libcowslippoint.a
	@echo "LD $@"
	@$(CC) $(CFLAGS) -o $@ $^ $(LDLIBS)

bench-sim: $(OUT)/bench-sim
	$(OUT)/bench-sim

$(OUT)/libtests.a: $(patsubst %.c,$(OUT)/%.o,$(TEST_SHARED)) \
		$(OUT)/tests/standin/corpus.o
	@rm -f $@
	@ar rcs $@ $^

$(TEST_BIN): $(OUT)/%: $(OUT)/tests/%.o $(OUT)/libtests.a \
		$(OUT)/libcowslippoint.a
	@echo "LD $@"
	@$(CC) $(CFLAGS) -o $@ $^ $(LDLIBS)

tests: $(PROGRAMS) $(TEST_BIN)

# Load on the whole system; SCENARIO=name runs one scenario.
bench: $(PROGRAMS)
	$(OUT)/bench $(if $(SCENARIO),--scenario $(SCENARIO))

# Slopes for docs/CAPACITY.md.
capacity: $(PROGRAMS) $(OUT)/capacity
	$(OUT)/capacity

format:
	@clang-format -i $(FORMATTED)

format-check:
	@clang-format --dry-run --Werror $(FORMATTED)

# A plain char is signed on x86-64 and unsigned on arm64: one pass for each.
lint:
	@for char in signed-char unsigned-char; do \
		printf '%s\n' $(filter-out src/codec/peer_xdr.c,$(SRC)) \
			$(sort $(shell find tests tools -name '*.c')) | \
			xargs -P $$(nproc) -n 1 sh -c 'clang-tidy --quiet \
			"$$@" -- $(CPPFLAGS) -std=gnu11 '-f$$char' \
			2>/dev/null' lint || exit 1; \
	done

check: format-check lint
	$(MAKE) -j$$(nproc) tests
	$(MAKE) -j$$(nproc) tests VARIANT=asan
	$(MAKE) -j$$(nproc) tests VARIANT=tsan
	$(MAKE) -j$$(nproc) fuzz
	$(MAKE) soak SEED=1 FOR=15
	$(MAKE) soak SEED=2 FOR=10 VARIANT=asan
	$(MAKE) soak SEED=3 FOR=10 VARIANT=tsan
	tests/run-checks

clean:
	rm -rf build

-include $(shell find $(OUT) -name '*.d' 2>/dev/null)
.PHONY: all demo fuzz soak soak-seeds deps tests bench bench-sim capacity format format-check lint \
	check clean
