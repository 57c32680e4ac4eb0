GO ?= go
GOLANGCI_VERSION := v2.15.0
GOBIN := $(shell $(GO) env GOPATH)/bin
GOLANGCI := $(GOBIN)/golangci-lint
SEED ?= 1
SEEDS ?= 1
DURATION ?= 30s
FUZZTIME ?= 1000x
FUZZ_PLATFORM := FuzzEndpointEntry FuzzConfiguration FuzzJob FuzzReport FuzzTail
VERSION ?= $(shell git describe --always --dirty 2>/dev/null || echo dev)
LDFLAGS := -X main.version=$(VERSION)
# Tests listed in KNOWN-RED.txt are printed and passed over.
KNOWN_RED := $(shell sed -n 's/^test: *//p' KNOWN-RED.txt 2>/dev/null | paste -sd '|' -)
SKIP := $(if $(KNOWN_RED),-skip '^($(KNOWN_RED))$$')

.PHONY: build test fuzz lint fmt tools demo soak chaos disrupt takeover simulate measure bench generate zoneinfo

build:
	$(GO) build -ldflags '$(LDFLAGS)' -o bin/ ./cmd/...

test:
	@if [ -n "$(KNOWN_RED)" ]; then echo 'known red, passed over:'; cat KNOWN-RED.txt; fi
	$(GO) test -race -count=1 -timeout 8m $(SKIP) ./...

$(GOLANGCI):
	$(GO) install github.com/golangci/golangci-lint/v2/cmd/golangci-lint@$(GOLANGCI_VERSION)

tools: $(GOLANGCI)

# The fuzz targets of all decoders at an edge; FUZZTIME is a number of inputs, such as 1000x, or a duration.
fuzz:
	@for target in $(FUZZ_PLATFORM); do $(GO) test -run '^$$' -fuzz "^$$target\$$" -fuzztime $(FUZZTIME) ./platform || exit 1; done
	$(GO) test -run '^$$' -fuzz '^FuzzCheck$$' -fuzztime $(FUZZTIME) ./internal/codec/inspector

lint: tools
	$(GOLANGCI) fmt --diff ./...
	$(GOLANGCI) run ./...
	$(GO) vet ./...

fmt: tools
	$(GOLANGCI) fmt ./...

zoneinfo:
	cp "$$($(GO) env GOROOT)/lib/time/zoneinfo.zip" internal/domain/locator/zoneinfo.zip

generate:
	protoc --go_out=. --go_opt=paths=source_relative --go-grpc_out=. --go-grpc_opt=paths=source_relative internal/peer/forwarder/peer.proto

demo: build
	./bin/standin demo --binary ./bin/greengagewall --deployment examples/humo-andino

soak:
	$(GO) run ./cmd/standin soak --seed $(SEED) --duration $(DURATION)

takeover: build
	./bin/standin takeover --binary ./bin/greengagewall --kills 10

disrupt: build
	./bin/standin disrupt --binary ./bin/entry --seed $(SEED) --seeds $(SEEDS) --duration $(DURATION)
	./bin/standin disrupt --binary ./bin/entry --known

chaos: build
	./bin/standin chaos --binary ./bin/greengagewall --seed $(SEED) --duration $(DURATION)

simulate:
	$(GO) run ./cmd/standin simulate --seed $(SEED)

measure:
	$(GO) run ./cmd/standin measure --seed $(SEED)

bench:
	$(GO) test -run '^$$' -bench . -benchmem -benchtime 200ms ./...
