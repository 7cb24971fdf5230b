# All targets need only Go.
GO ?= go
BIN := bin

.PHONY: build test lint demo chaos soak bench

build:
	$(GO) build -trimpath -o $(BIN)/ ./cmd/...

# SKIP is a pattern of tests to skip; .ci/run sets it from KNOWN-RED.txt.
SKIPPED = $(if $(SKIP),-skip '$(SKIP)')
# The fleets of this package overflow the stack depot of the race detector, so
# only its scenario "small" runs with -race. The whole package runs without it.
FLEET := ./internal/distribution
# The tests of this package use up the memory and the descriptors of a node, so they run
# alone. The nodes are built without the race detector.
FLOOD := ./internal/standin/flood

test: build
	$(GO) test -race -timeout 10m $(SKIPPED) $$($(GO) list ./... | grep -v -e '/internal/distribution$$' -e '/internal/standin/flood$$')
	$(GO) test -race -timeout 10m -run 'TestScenarios/small' $(FLEET)
	$(GO) test -timeout 10m $(SKIPPED) $(FLEET)
	$(GO) test -count=1 -timeout 40m $(SKIPPED) $(FLOOD)

lint:
	@unformatted=$$($(GO) tool gofumpt -l $$(git ls-files '*.go' | grep -v '/wire\..*\.go$$')); \
	if [ -n "$$unformatted" ]; then echo "not formatted:"; echo "$$unformatted"; exit 1; fi
	$(GO) vet ./...
	$(GO) tool staticcheck ./...

bench: build
	$(BIN)/galenabench all --bin $(BIN)

demo: build
	$(BIN)/galenastand demo --bin $(BIN)

# SEED selects the injected failures, DURATION how long they are injected, SCENARIO
# their kind (by default the seed selects it) and INSTANCES the number of nodes (0 is
# that of the deployment).
SEED ?= 1
DURATION ?= 1m
SCENARIO ?=
INSTANCES ?= 0
RUN = --bin $(BIN) --seed $(SEED) --scenario '$(SCENARIO)' --instances $(INSTANCES)
chaos: build
	$(BIN)/galenastand chaos $(RUN) --duration $(DURATION)

# SEEDS is the number of runs of 20 s each, with consecutive seeds from SEED on.
# If MINUTES is not 0, no run starts after that many minutes.
SEEDS ?= 50
MINUTES ?= 0
soak: build
	$(BIN)/galenastand soak $(RUN) --seeds $(SEEDS) --minutes $(MINUTES) --duration 20s --logs $(BIN)/soak
