# Two commands do it all: `make demo` and `make test`.
GO ?= go
MODULES := $(shell $(GO) list -m -f '{{.Dir}}')
KNOWN_RED := $(shell sed -nE 's/^(Test[A-Za-z0-9_]+).*/\1/p' KNOWN-RED.txt 2>/dev/null | paste -sd'|' -)
SKIP := $(if $(KNOWN_RED),-skip '^($(KNOWN_RED))$$',)
GOLANGCI_VERSION := v2.12.2
GOPLS_VERSION := v0.21.1
BIN := $(CURDIR)/bin

.PHONY: build demo test test-race known-red lint gopls bench measure proofs-must-fail soak soak-faults generate

build:
	$(GO) build -o $(BIN)/ ./cmd/...

# The main job: three zones of separate processes, pledges, drafts, streams, one changed rule.
demo:
	demo/run.sh

# Everything that CI runs but lint. Cases named in KNOWN-RED.txt are passed over and printed.
test: known-red
	$(GO) vet work
	$(GO) test -count=1 $(SKIP) work

test-race: known-red
	$(GO) test -count=1 -race $(SKIP) work

known-red:
	@if [ -s KNOWN-RED.txt ]; then echo "known red, passed over:"; cat KNOWN-RED.txt; else echo "known red: none"; fi

$(BIN)/golangci-lint-$(GOLANGCI_VERSION):
	@mkdir -p $(BIN)
	cd $(BIN) && GOBIN=$(BIN) GOWORK=off $(GO) install github.com/golangci/golangci-lint/v2/cmd/golangci-lint@$(GOLANGCI_VERSION)
	mv $(BIN)/golangci-lint $@

lint: $(BIN)/golangci-lint-$(GOLANGCI_VERSION)
	@set -e; export GOLANGCI_LINT_CACHE=$(BIN)/lint-cache; for dir in $(MODULES); do (cd $$dir && $< run ./... && $< fmt --diff ./...); done

# Renames across the modules of the workspace: bin/gopls-VERSION rename -w FILE:LINE:COLUMN NAME.
gopls: $(BIN)/gopls-$(GOPLS_VERSION)

$(BIN)/gopls-$(GOPLS_VERSION):
	@mkdir -p $(BIN)
	cd $(BIN) && GOBIN=$(BIN) GOWORK=off $(GO) install golang.org/x/tools/gopls@$(GOPLS_VERSION)
	mv $(BIN)/gopls $@

# Seeded comparisons; the tables and plots that the docs show.
measure:
	$(GO) run ./expertmap/cmd/measure -out docs/measure/expertmap
	cd routing && $(GO) run ./cmd/measure -out ../docs/measure/routing
	$(GO) run ./membership/cmd/measure -full -out docs/measure/membership
	$(GO) run ./limits/cmd/measure -out docs/measure/limits

# Added latency and processor time of the path, and the costs of decisions.
bench:
	BBW_BENCH=1 $(GO) test -run TestBenchPath -count=1 -v ./internal/e2e
	$(GO) test -run xxx -bench . -benchmem ./expertmap ./rules ./routing ./mapswitch ./suspects ./limits

# Every proof must fail without its mechanism.
proofs-must-fail:
	.ci/proofs-must-fail

# Schedules of failures beyond those of the tests: make soak SEEDS=100000.
SEEDS ?= 20000
soak:
	BBW_SEEDS=$(SEEDS) $(GO) test -count=1 -run 'TestAtMostOnceUnderSchedules|TestNotRunIsTrueUnderSchedules' -v ./once ./internal/agent
	BBW_SOAK=$(SEEDS) $(GO) test -count=1 -run TestSoak -v ./mapswitch
	$(GO) test ./suspects -count=1 -v -run TestCrasherIsBounded -rapid.checks=$(shell expr $(SEEDS) / 100 + 1)

# Faults against real processes: make soak-faults SEEDS=1-50 LOGS=/some/dir.
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
