# All targets need only Go, make and access to a Go module proxy.

GO ?= go
MODULES := coord router platform
BIN := bin

.PHONY: all build fmt-check vet lint test soak bench slopes faults demo clean

all: build

build:
	mkdir -p $(BIN)
	cd router && $(GO) build -o ../$(BIN)/ ./cmd/...

fmt-check:
	@out=$$(gofmt -l $(MODULES)); if [ -n "$$out" ]; then echo "not formatted:"; echo "$$out"; exit 1; fi

vet:
	cd coord && $(GO) vet ./...
	cd router && $(GO) vet ./...
	cd platform && $(GO) vet ./...

# staticcheck is pinned as a tool of the router module.
lint:
	cd router && $(GO) tool staticcheck ./... bramleyquay.example/coord/... bramleyquay.example/platform/...

# The soak tests run alone, because their processes would take CPU time from the
# scenarios, which measure times.
test: fmt-check vet lint
	cd coord && $(GO) test -timeout 8m ./...
	cd router && $(GO) test -timeout 8m $$($(GO) list ./... | grep -v /soak$$)
	cd router && $(GO) test -timeout 8m ./soak
	cd platform && $(GO) test -timeout 8m ./...

# Starts a small cluster, injects faults under load and prints what callers saw.
demo: build
	cd router && $(GO) build -o ../$(BIN)/ ./examples/standin ./examples/rangetarget ./examples/demo
	$(BIN)/demo --daemon=$(BIN)/bramleyquay --standin=$(BIN)/standin --range-target=$(BIN)/rangetarget --examples=examples/muscat

# Injects overlapping faults into a cluster of real processes, 18 s for each seed:
# make soak SEED=100 SEEDS=50. The logs of failed seeds stay in the folder KEEP.
SEED ?= 1
SEEDS ?= 50
KEEP ?= /tmp/bramleyquay-soak
soak:
	mkdir -p $(KEEP)
	cd router && $(GO) test -count=1 -timeout 2h ./soak -v -soak.seed $(SEED) -soak.seeds $(SEEDS) -soak.keep $(KEEP)

# Measures the cost of the request path and of each decision.
bench: build
	cd router && $(GO) build -o ../$(BIN)/ ./examples/standin ./examples/bench
	$(BIN)/bench --daemon=$(BIN)/bramleyquay --standin=$(BIN)/standin --examples=examples/muscat

# Measures the cost per unit of the control plane for docs/CAPACITY.md.
slopes:
	cd router && $(GO) test -run '^$$' -bench . -benchtime 20x -timeout 5m ./slopes ./store
	cd coord && $(GO) test -run '^$$' -bench 'Payment|Encoding|Propose|Heartbeat' -benchtime 2000x ./idempotency ./raft

# Prints how long callers get no response under each fault and pairs of faults.
faults: build
	cd router && $(GO) build -o ../$(BIN)/ ./examples/standin ./examples/faults
	$(BIN)/faults --daemon=$(BIN)/bramleyquay --standin=$(BIN)/standin --examples=examples/muscat

clean:
	rm -rf $(BIN)
