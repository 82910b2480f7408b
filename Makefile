GO    ?= go
TOOL   = $(GO) tool -modfile=tools/go.mod
PKGS   = ./...
FUZZ_TIME ?= 5m
# Wire names of the users' platform: only platform/, the stand-ins and tests may contain them.
WIRE_NAMES = 'X-(Attempt-Id|Length-Hint|Deadline-Milliseconds|Token-Counts|Tenant|Expect-Instance|Helpers|Not-Executed|Response-Seal|Request-Urgency|Instance-Id|Model|Prompt-Prefix)|At-Server|Store-Era|Server-Limit|X-Cold-Milliseconds|cold_(start_s|per_s|remaining_ms|overrun|slack)|/dogwoodmill/(log-|order|report|readiness)|keyed\.|node_name|target_latency_ms|path_prefix|kv_cache_tokens|token_count'

# Known failing tests, listed in KNOWN-RED.txt. check and race skip them.
RED  = $(shell sed -n 's/^\(Test[A-Za-z0-9_]*\).*/\1/p' KNOWN-RED.txt | paste -sd'|' -)
SKIP = $(if $(RED),-skip '^($(RED))$$')

.PHONY: build check race lint fmt bench bench-cpu fuzz soak generate

build:
	$(GO) build -o bin/dogwoodmill .

# Runs the tests with the seeds and check counts that CI uses.
check:
	$(GO) test $(SKIP) $(PKGS)

race:
	$(GO) test -race $(SKIP) $(PKGS)

lint:
	@out=$$($(TOOL) gofumpt -l -extra main.go internal platform); test -z "$$out" || { echo "gofumpt: $$out"; exit 1; }
	@out=$$($(TOOL) goimports -l -local github.com/dogwoodmill/dogwoodmill main.go internal platform); test -z "$$out" || { echo "goimports: $$out"; exit 1; }
	@out=$$(grep -rln 'pond\.NewPool' --include='*.go' internal | grep -v '^internal/base/work/'); test -z "$$out" || { echo "use internal/base/work instead of pond: $$out"; exit 1; }
	@out=$$(grep -rlnE $(WIRE_NAMES) --include='*.go' internal main.go | grep -vE '^internal/standin/|_test\.go$$'); test -z "$$out" || { echo "wire names of the users' platform belong in platform/: $$out"; exit 1; }
	$(GO) vet $(PKGS)
	$(TOOL) staticcheck -checks all,-ST1000 $(PKGS)
	$(TOOL) errcheck -ignoregenerated -exclude tools/errcheck.txt $(PKGS)
	$(TOOL) revive -config tools/revive.toml -set_exit_status $(PKGS)

fmt:
	$(TOOL) gofumpt -w -extra main.go internal platform
	$(TOOL) goimports -w -local github.com/dogwoodmill/dogwoodmill main.go internal platform

# Prints figures measured in virtual time with fixed seeds: every run prints the same.
bench:
	@BENCH_FULL=1 $(GO) test -run '^TestBench' -count=1 -v $(PKGS) 2>/dev/null | grep -E '^[a-z]+ [a-z_]+=' || true

# Prints nanoseconds, bytes and allocations per operation, measured on this machine.
bench-cpu:
	$(GO) test -run '^$$' -bench . -benchmem $(PKGS)

# Runs the property tests with random seeds and the fuzz targets for FUZZ_TIME in total, and
# prints the seed.
fuzz:
	FUZZ_TIME=$(FUZZ_TIME) ./tools/fuzz

# Generates the Go code of the .proto files, which is committed. Needs protoc, protoc-gen-go and
# protoc-gen-twirp.
generate:
	find internal -name '*.proto' -exec protoc --go_out=. --go_opt=paths=source_relative --twirp_out=. --twirp_opt=paths=source_relative {} \;
	$(MAKE) fmt

# Runs the product as processes on loopback with random faults, drawn from SEED, for FOR. Both
# are printed.
SEED ?= $(shell date +%s)
FOR  ?= 60s
soak:
	SOAK_SEED=$(SEED) SOAK_FOR=$(FOR) $(GO) test -count=1 -timeout 0 -v -run '^TestSoak$$' ./internal/proof/soak
