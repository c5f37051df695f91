# The targets that people guess: build, test, lint, fmt, demo, bench, fuzz.

TOOLS := $(CURDIR)/.tools
LINT  := $(TOOLS)/golangci-lint

.PHONY: build test lint fmt check demo bench fuzz capacity clean

build:
	go build -o bin/carobknot ./cmd/carobknot

test:
	go test -race -count=1 -timeout 20m ./...

$(LINT):
	GOBIN=$(TOOLS) go install github.com/golangci/golangci-lint/v2/cmd/golangci-lint@v2.15.0

lint: $(LINT)
	$(LINT) run ./...

fmt: $(LINT)
	$(LINT) fmt ./...

check: $(LINT)
	$(LINT) fmt --diff ./...
	$(LINT) run ./...
	sh scripts/one_exported_type.sh

demo: build
	bin/carobknot demo

# Stateful fuzzing with new seeds for FUZZ, and then each decoder for DECODE. A
# failure prints the command that reproduces it.
FUZZ   ?= 10m
DECODE ?= 10s

fuzz:
	go test -count=1 -timeout 0 ./test/fuzz -v -run '^TestLong$$' -long $(FUZZ)
	for target in $$(go test ./test/fuzz -list '^Fuzz' | grep '^Fuzz'); do \
		go test ./test/fuzz -run '^$$' -fuzz "^$$target\$$" -fuzztime $(DECODE) || exit 1; done

# At most 10 minutes; BENCH narrows it, as in BENCH="-cases noisy -rounds 5".
bench: build
	bin/carobknot bench -report reports/bench.json $(BENCH)

# The slopes that docs/CAPACITY.md is worked out from, within 10 minutes.
capacity:
	go test -count=1 -timeout 10m -tags capacity -run 'Slope|Cost|Idle' -v ./test/capacity | grep -v '^=== \|^--- \|^ *--- '

clean:
	rm -rf bin reports
