# SPDX-License-Identifier: Apache-2.0

DEPLOYMENT ?= comhar
SEEDS ?= 20
SECONDS_OF_LOAD ?= 20
PACKAGES = $$(go list ./... | grep -v /test/proof)
# Each proof starts a deployment of its own; a few run side by side.
PROOF = go tool ginkgo --procs=4 --timeout=80m --no-color --seed=1

.PHONY: all build demo test proof lint generate bench capacity fuzz

all: build

build:
	go build -o bin/ ./cmd/dewpass ./test/standin ./test/demo

# A whole deployment of separate processes under a mixed load.
demo: build
	bin/demo --deployment $(DEPLOYMENT) --seconds $(SECONDS_OF_LOAD)

test:
	go test $(PACKAGES)
	$(PROOF) ./test/proof

# The proofs with more seeds than the tests run.
proof:
	PROOF_SEEDS=$(SEEDS) $(PROOF) ./test/proof

lint:
	@test -z "$$(git ls-files '*.go' | grep -v '\.pb\.go$$' | xargs gofmt -l | tee /dev/stderr)"
	go vet ./...
	go vet -tags faults ./...
	go tool staticcheck ./...

# Needs protoc; its plugin comes with the protobuf library. The result is
# committed, so that nothing else needs either.
generate:
	go build -o bin/protoc-gen-go google.golang.org/protobuf/cmd/protoc-gen-go
	cd wire && PATH="$(CURDIR)/bin:$$PATH" protoc --go_out=. --go_opt=paths=source_relative wire.proto
