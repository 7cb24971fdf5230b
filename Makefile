# Every target needs nothing but Go.
GO ?= go
BIN := bin

.PHONY: build test lint demo chaos bench

build:
	$(GO) build -trimpath -o $(BIN)/ ./cmd/...

# SKIP is a pattern of tests to pass over; .ci/run sets it from KNOWN-RED.txt.
test: build
	$(GO) test -race -timeout 10m $(if $(SKIP),-skip '$(SKIP)') ./...

lint:
	@unformatted=$$($(GO) tool gofumpt -l $$(git ls-files '*.go' | grep -v '/wire\..*\.go$$')); \
	if [ -n "$$unformatted" ]; then echo "not formatted:"; echo "$$unformatted"; exit 1; fi
	$(GO) vet ./...
	$(GO) tool staticcheck ./...

bench: build
	$(BIN)/galenabench all --bin $(BIN)

demo: build
	$(BIN)/galenastand demo --bin $(BIN)

# SEED selects the failures, DURATION the time under them.
SEED ?= 1
DURATION ?= 1m
chaos: build
	$(BIN)/galenastand chaos --bin $(BIN) --seed $(SEED) --duration $(DURATION)
