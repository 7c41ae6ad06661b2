# Siskingrade build. "make help" lists the targets.

CC ?= gcc
BUILD ?= build
JOBS := $(shell nproc)
PACKAGES := gcc make pkg-config libh2o-evloop-dev libprotobuf-c-dev protobuf-c-compiler \
	libcmocka-dev libcyaml-dev libyaml-dev libjansson-dev libxxhash-dev libsodium-dev libssl-dev libhttp-parser-dev \
	curl openssl
CI_PACKAGES := clang-format clang-tidy cppcheck

CPPFLAGS += -D_GNU_SOURCE -DH2O_USE_LIBUV=0 -Ilibsiskingrade -Iplatform
OPT ?= -O2 -g
CFLAGS += -std=gnu11 $(OPT) -Wall -Wextra -Wshadow -Wstrict-prototypes -Wmissing-prototypes \
	-Wno-unused-parameter -Wno-missing-field-initializers -fno-omit-frame-pointer -pthread
# The h2o and cmocka headers are system headers, so that their own warnings do not count.
LDLIBS += -lh2o-evloop -lhttp_parser -lssl -lcrypto -lprotobuf-c -lcyaml -lyaml -ljansson -lxxhash -lsodium -lm
LDFLAGS += -pthread

LIB_SRC := $(wildcard libsiskingrade/*.c)
LIB_OBJ := $(LIB_SRC:%.c=$(BUILD)/%.o)
LIB := $(BUILD)/libsiskingrade.a

PLATFORM_OBJ := $(patsubst %.c,$(BUILD)/%.o,$(wildcard platform/*.c))

CLI_SRC := $(wildcard cli/*.c)
STANDIN_SRC := $(wildcard standins/standin-*.c)
STANDIN_COMMON := $(filter-out $(STANDIN_SRC),$(wildcard standins/*.c))
TEST_SRC := $(wildcard tests/test_*.c)
TEST_COMMON := $(filter-out $(TEST_SRC),$(wildcard tests/*.c))
BENCH_SRC := $(wildcard bench/bench_*.c)
# bench_path starts processes with the fixture of the tests.
BENCH_COMMON := $(filter-out $(BENCH_SRC),$(wildcard bench/*.c)) tests/http_probe.c \
	tests/node_fixture.c tests/node_fixture_config.c tests/relay.c

PROGRAMS := $(CLI_SRC:cli/%.c=$(BUILD)/%) $(BUILD)/siskingraded-platform $(STANDIN_SRC:standins/%.c=$(BUILD)/%)
TESTS := $(TEST_SRC:tests/%.c=$(BUILD)/tests/%)
BENCHES := $(BENCH_SRC:bench/%.c=$(BUILD)/bench/%)

C_FILES = $(filter-out %.pb-c.c %.pb-c.h,$(wildcard libsiskingrade/*.[ch] cli/*.[ch] standins/*.[ch] \
	platform/*.[ch] tests/*.[ch] bench/*.[ch] fuzz/*.[ch] examples/*.c))

.PHONY: all help deps install check check-asan bench demo fuzz format format-check lint proto clean
.SECONDARY:

all: $(LIB) $(PROGRAMS)

help:
	@echo "all check check-asan bench demo fuzz format format-check lint proto deps clean"

$(BUILD)/%.o: %.c
	@mkdir -p $(dir $@)
	$(CC) $(CPPFLAGS) $(CFLAGS) $(SAN) -MMD -MP -c -o $@ $<

$(LIB): $(LIB_OBJ)
	@rm -f $@
	$(AR) rcs $@ $^

$(BUILD)/siskingraded-platform: $(PLATFORM_OBJ) $(LIB)
	$(CC) $(LDFLAGS) $(SAN) -o $@ $^ $(LDLIBS)

$(BUILD)/siskingrade%: $(BUILD)/cli/siskingrade%.o $(LIB)
	$(CC) $(LDFLAGS) $(SAN) -o $@ $^ $(LDLIBS)

$(BUILD)/standin-%: $(BUILD)/standins/standin-%.o $(STANDIN_COMMON:%.c=$(BUILD)/%.o) $(LIB)
	$(CC) $(LDFLAGS) $(SAN) -o $@ $^ $(LDLIBS)

$(BUILD)/tests/%: $(BUILD)/tests/%.o $(TEST_COMMON:%.c=$(BUILD)/%.o) \
  $(filter-out %/main.o,$(PLATFORM_OBJ)) $(LIB)
	@mkdir -p $(dir $@)
	$(CC) $(LDFLAGS) $(SAN) -o $@ $^ -lcmocka $(LDLIBS)

$(BUILD)/bench/%: $(BUILD)/bench/%.o $(BENCH_COMMON:%.c=$(BUILD)/%.o) $(LIB)
	@mkdir -p $(dir $@)
	$(CC) $(LDFLAGS) $(SAN) -o $@ $^ $(LDLIBS)

# Guards against a public header that cannot be used alone.
$(BUILD)/embed: examples/embed.c $(LIB)
	$(CC) -std=gnu11 -Wall -Ilibsiskingrade $(SAN) -o $@ $^ -lsodium -ljansson -lprotobuf-c -lxxhash -lm

deps:
	@tests/install-packages.sh $(PACKAGES)

check: deps
	@$(MAKE) -j$(JOBS) --no-print-directory all $(TESTS) $(BUILD)/embed
	@tests/run.sh $(BUILD) $(TESTS)

check-asan: deps
	@ASAN_OPTIONS=fast_unwind_on_malloc=0 LSAN_OPTIONS=suppressions=tests/lsan.supp:print_suppressions=0 \
	  $(MAKE) -j$(JOBS) --no-print-directory BUILD=build-asan OPT="-O1 -g" SAN="-fsanitize=address,undefined -fno-sanitize-recover=all" check-nodeps

.PHONY: check-nodeps tests
check-nodeps: all $(TESTS)
	@tests/run.sh $(BUILD) $(TESTS)

tests: all $(TESTS) $(BUILD)/embed

bench: deps
	@$(MAKE) -j$(JOBS) --no-print-directory all $(BENCHES)
	@bench/run.sh $(BUILD) $(BENCHES)

demo: deps
	@$(MAKE) -j$(JOBS) --no-print-directory all
	@examples/demo.sh $(BUILD)

# Generated code is committed; this target is only for changes of the .proto files.
proto:
	protoc-c --proto_path=libsiskingrade --c_out=libsiskingrade $(wildcard libsiskingrade/*.proto)

fuzz:
	@fuzz/run.sh

format:
	clang-format -i $(C_FILES)

format-check:
	clang-format --dry-run -Werror $(C_FILES)

lint:
	@tests/lint.sh "$(CPPFLAGS)" $(filter %.c,$(C_FILES))

PREFIX ?= /usr/local
VERSION = $(shell sed -n 's/.*SGR_VERSION "\(.*\)"/\1/p' libsiskingrade/version.h)
PUBLIC_HEADERS := siskingrade.h account.h balancer.h buffer.h call_fields.h call_plan.h config_account.h \
	config_cache.h config_chain.h config_error.h config_resource.h config_rules.h config_source.h config_state.h \
	config_sync.h counter.h evacuation.h gate.h gate_cold.h gate_limits.h histogram.h idempotency_key.h member.h membership.h \
	policy.h probe_budget.h region.h result.h retry_budget.h rng.h route.h types.h version.h

# Programs, man pages, and the library with its public headers.
install: all
	install -d $(DESTDIR)$(PREFIX)/sbin $(DESTDIR)$(PREFIX)/bin $(DESTDIR)$(PREFIX)/lib/pkgconfig \
	  $(DESTDIR)$(PREFIX)/include/siskingrade $(DESTDIR)$(PREFIX)/share/man/man1 \
	  $(DESTDIR)$(PREFIX)/share/man/man8
	install $(BUILD)/siskingraded $(DESTDIR)$(PREFIX)/sbin
	install $(BUILD)/siskingradectl $(DESTDIR)$(PREFIX)/bin
	install -m 644 $(LIB) $(DESTDIR)$(PREFIX)/lib
	install -m 644 $(PUBLIC_HEADERS:%=libsiskingrade/%) $(DESTDIR)$(PREFIX)/include/siskingrade
	install -m 644 man/*.1 $(DESTDIR)$(PREFIX)/share/man/man1
	install -m 644 man/*.8 $(DESTDIR)$(PREFIX)/share/man/man8
	sed 's|@PREFIX@|$(PREFIX)|; s|@VERSION@|$(VERSION)|' libsiskingrade/siskingrade.pc.in \
	  >$(DESTDIR)$(PREFIX)/lib/pkgconfig/siskingrade.pc

clean:
	rm -rf build build-asan build-fuzz

-include $(shell find $(BUILD) -name '*.d' 2>/dev/null)
