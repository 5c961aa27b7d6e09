# The main targets are `make demo` and `make test`.
GO ?= go
MODULES := $(shell $(GO) list -m -f '{{.Dir}}')
KNOWN_RED := $(shell sed -nE 's/^(Test[A-Za-z0-9_]+).*/\1/p' KNOWN-RED.txt 2>/dev/null | paste -sd'|' -)
SKIP := $(if $(KNOWN_RED),-skip '^($(KNOWN_RED))$$',)
GOLANGCI_VERSION := v2.12.2
GOPLS_VERSION := v0.21.1
BIN := $(CURDIR)/bin

.PHONY: build demo test test-crowd test-race known-red lint gopls bench measure proofs-must-fail soak soak-faults generate

build:
	$(GO) build -o $(BIN)/ ./cmd/...

# Runs a three-zone deployment as separate local processes, sends pledge, draft and
# streaming requests through it, and rolls out a changed routing rule.
demo:
	demo/run.sh

# Runs go vet and all tests. Prints KNOWN-RED.txt and skips the tests that it names.
test: known-red
	$(GO) vet work
	$(GO) test -count=1 $(SKIP) work
	$(MAKE) test-crowd

# Runs the tests of crowds of callers that do not behave, one at a time: they check what a
# process holds, and must not run beside other tests.
test-crowd:
	$(GO) vet -tags crowd ./soak ./internal/e2e
	$(GO) test -count=1 -p 1 -timeout 20m -tags crowd -run '^TestCrowd' $(SKIP) ./soak ./internal/e2e

test-race: known-red
	$(GO) test -count=1 -race $(SKIP) work

known-red:
	@if [ -s KNOWN-RED.txt ]; then echo "known failing tests, skipped:"; cat KNOWN-RED.txt; else echo "known failing tests: none"; fi

$(BIN)/golangci-lint-$(GOLANGCI_VERSION):
	@mkdir -p $(BIN)
	cd $(BIN) && GOBIN=$(BIN) GOWORK=off $(GO) install github.com/golangci/golangci-lint/v2/cmd/golangci-lint@$(GOLANGCI_VERSION)
	mv $(BIN)/golangci-lint $@

lint: $(BIN)/golangci-lint-$(GOLANGCI_VERSION)
	@set -e; export GOLANGCI_LINT_CACHE=$(BIN)/lint-cache; for dir in $(MODULES); do (cd $$dir && $< run ./... && $< fmt --diff ./...); done

# Installs gopls, which renames an identifier in all modules of the workspace:
# bin/gopls-VERSION rename -w FILE:LINE:COLUMN NAME.
gopls: $(BIN)/gopls-$(GOPLS_VERSION)

$(BIN)/gopls-$(GOPLS_VERSION):
	@mkdir -p $(BIN)
	cd $(BIN) && GOBIN=$(BIN) GOWORK=off $(GO) install golang.org/x/tools/gopls@$(GOPLS_VERSION)
	mv $(BIN)/gopls $@

# Runs the seeded comparisons and regenerates the tables and plots in docs/measure.
measure:
	$(GO) run ./expertmap/cmd/measure -out docs/measure/expertmap
	cd routing && $(GO) run ./cmd/measure -out ../docs/measure/routing
	$(GO) run ./membership/cmd/measure -full -out docs/measure/membership
	$(GO) run ./limits/cmd/measure -out docs/measure/limits

# Measures the latency and CPU time that the request path adds, and runs the Go
# benchmarks of the decision-making packages.
bench:
	BBW_BENCH=1 $(GO) test -run TestBenchPath -count=1 -v ./internal/e2e
	$(GO) test -run xxx -bench . -benchmem ./expertmap ./rules ./routing ./mapswitch ./suspects ./limits

# Checks that each test listed in docs/PROOFS.md fails when the mechanism that it
# covers is disabled.
proofs-must-fail:
	.ci/proofs-must-fail

# Runs the tests of random failure schedules with more schedules than `make test`.
# SEEDS is their number, of which suspects runs a hundredth: make soak SEEDS=100000.
SEEDS ?= 20000
soak:
	BBW_SEEDS=$(SEEDS) $(GO) test -count=1 -run 'TestAtMostOnceUnderSchedules|TestNotRunIsTrueUnderSchedules' -v ./once ./internal/agent
	BBW_SOAK=$(SEEDS) $(GO) test -count=1 -run TestSoak -v ./mapswitch
	$(GO) test ./suspects -count=1 -v -run TestCrasherIsBounded -rapid.checks=$(shell expr $(SEEDS) / 100 + 1)

# Injects faults into real processes. SEEDS is a range of seeds, and LOGS is the
# directory that receives the logs of failing seeds:
# make soak-faults SEEDS=1-50 LOGS=/some/dir.
soak-faults: SEEDS = 1-50
soak-faults:
	BBW_FAULT_SEEDS=$(SEEDS) BBW_FAULT_LOGS=$(LOGS) $(GO) test -count=1 -timeout 60m -parallel 4 -run TestFaults -v ./soak

PROTOC = protoc -I $(1) --go_out=$(1) --go_opt=paths=source_relative --go-drpc_out=$(1) --go-drpc_opt=paths=source_relative $(1)/$(2)
generate:
	$(call PROTOC,wire,bluebellwind.proto)
	$(call PROTOC,internal/rankpb,ranks.proto)
	$(call PROTOC,membership/membershippb,membership.proto)
	$(call PROTOC,limits/limitspb,limits.proto)
	$(call PROTOC,internal/operatorpb,operator.proto)
	$(call PROTOC,discovery/discoverypb,discovery.proto)
	protoc -I mesh/meshpb --go_out=mesh/meshpb --go_opt=paths=source_relative mesh.proto
	protoc -I suspects --go_out=suspects/suspectspb --go_opt=paths=source_relative report.proto
