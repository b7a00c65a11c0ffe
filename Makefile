GO ?= go
BIN ?= bin
SEED ?= 20261204

.PHONY: build test lint demo soak soak-short replay test-fresh clean

build:
	$(GO) build -o $(BIN)/ ./cmd/... ./tools/...

lint:
	@unformatted=$$(gofmt -l cmd internal platform tools); if [ -n "$$unformatted" ]; then echo "not gofmt clean: $$unformatted"; exit 1; fi
	$(GO) vet ./...
	$(GO) tool staticcheck ./...

# All checks and tests, with fixed seeds.
test: lint soak-short
	$(GO) run ./tools/knownred -seed $(SEED)

# Hosts as processes under faults that a seed gives; checks what callers and targets see.
DURATION ?= 20s
soak: build
	$(BIN)/soak -daemon $(BIN)/siskintided -seed $(SEED) -duration $(DURATION)

soak-short: build
	$(BIN)/soak -daemon $(BIN)/siskintided -seed 7 -duration 10s

# Property tests with a fresh seed; a seed that fails becomes a fixed case.
test-fresh:
	$(GO) test -count=1 $$($(GO) list -f '{{.ImportPath}} {{.TestImports}} {{.XTestImports}}' ./internal/... | grep pgregory.net/rapid | cut -d' ' -f1) -rapid.checks=2000

demo: build
	$(BIN)/demo -bin $(BIN)

# Kept seeds of the soak.
replay: build
	@grep -v '^#' tools/soak/seeds.txt | while read -r seed duration; do \
		$(BIN)/soak -daemon $(BIN)/siskintided -seed $$seed -duration $$duration || exit 1; done

clean:
	rm -rf $(BIN)
