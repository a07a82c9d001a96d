# Targets for developers. README.md explains the two main ones.
GO ?= go
BIN := $(CURDIR)/bin
export PATH := $(BIN):$(PATH)

PROTO := internal/peer/peerpb/peer.proto

.PHONY: soak build test check fmt-check vet lint gen gen-check spec unit fuzz smoke run matrix bench slopes capacity docs

build:
	$(GO) build -o $(BIN)/ ./cmd/...

# test runs all checks of the project; .ci/run calls it.
test: check spec unit fuzz smoke

check: fmt-check vet lint gen-check

fmt-check:
	@unformatted=$$(gofmt -l cmd internal platform); \
	if [ -n "$$unformatted" ]; then echo "not formatted: $$unformatted"; exit 1; fi

vet:
	$(GO) vet ./...

lint:
	$(GO) tool staticcheck ./...

# gen writes the generated code, which is committed.
gen:
	scripts/generate.sh

# gen-check fails if the committed generated code differs from what gen writes.
gen-check:
	scripts/generate.sh --check

# docs updates the tables in the pages that tests compare with the code.
docs:
	DOGWOODPOND_UPDATE_DOCS=1 $(GO) test ./internal/event ./internal/daemon ./internal/node ./internal/settings -run Page -count=1

spec:
	scripts/spec.sh

unit:
	scripts/unit.sh

fuzz:
	scripts/fuzz.sh

smoke: build
	scripts/smoke.sh --end

run: build
	scripts/smoke.sh --stay

matrix:
	scripts/matrix.sh

bench: build
	scripts/bench.sh
	scripts/bench-rollouts.sh
	$(GO) test -run "^$$" -bench "Generate|Admit" -cpu 1 ./internal/entry
	$(GO) test -run "^$$" -bench AddedLatency -benchtime 4000x ./internal/processtest
	$(GO) test -count=1 -run TestAttemptsPerRequest -v ./internal/generate

# soak runs the fault soak with random seeds; see scripts/soak.sh.
soak:
	scripts/soak.sh

slopes: build
	scripts/slopes.sh

# capacity prints what one VM reads and retains at 30 to 2,000 VMs, by a model of the control
# plane in virtual time.
capacity:
	DOGWOODPOND_CAPACITY=1 $(GO) test ./platform -run TestCapacity -count=1 -v
