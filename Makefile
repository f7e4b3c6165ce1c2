# SPDX-License-Identifier: Apache-2.0

DEPLOYMENT ?= comhar
SEEDS ?= 20
SECONDS_OF_LOAD ?= 20
# The two suites of which CI passes over the specs of KNOWN-RED.txt are run by ginkgo.
PACKAGES = $$(go list ./... | grep -v -e /test/proof -e /test/cluster)
# What a suspended machine believes when it wakes: its clock can be turned with this tag alone.
SUSPENDED = go test -tags faults ./internal/clock ./claim ./rows -run Suspension && go test -tags faults ./driver -ginkgo.focus suspended
CLUSTER = go tool ginkgo --timeout=20m --no-color
# Each proof starts a deployment of its own; a few run side by side.
PROOF = go tool ginkgo --procs=4 --timeout=80m --no-color --seed=1

.PHONY: all build demo test proof soak race lint generate bench capacity fuzz hunt

all: build

build:
	go build -o bin/ ./cmd/dewpass ./test/standin ./test/demo ./test/measure

# A whole deployment of separate processes under a mixed load.
demo: build
	bin/demo --deployment $(DEPLOYMENT) --seconds $(SECONDS_OF_LOAD)
	bin/demo --deployment platform --seconds $(SECONDS_OF_LOAD)

test:
	go test $(PASS_OVER_TESTS) $(PACKAGES)
	$(SUSPENDED)
	$(CLUSTER) $(PASS_OVER) ./test/cluster
	$(PROOF) $(PASS_OVER) ./test/proof

# The proofs with more seeds than the tests run.
proof:
	PROOF_SEEDS=$(SEEDS) $(PROOF) ./test/proof

# The soak with more seeds than the tests run, about 10 s a seed; docs/SOAK.md.
soak:
	SOAK=1-$(SEEDS) $(CLUSTER) --procs=4 --timeout=80m --label-filter=soak ./test/cluster

# The proofs on binaries with the race detector; a report in any log is red.
race:
	go test -race $(PACKAGES) ./test/cluster
	PROOF_RACE=1 $(PROOF) ./test/proof

lint:
	@test -z "$$(git ls-files '*.go' | grep -v '\.pb\.go$$' | xargs gofmt -l | tee /dev/stderr)"
	go vet ./...
	go vet -tags faults ./...
	go tool staticcheck ./...

# The decisions themselves, with baselines, and the same on real processes.
bench: build
	go test -run '^$$' -bench . -benchtime 1x -timeout 30m ./sched -args -plots=$(CURDIR)/docs/plots
	go test -run '^$$' -bench Decision -benchtime 200000x ./sched
	bin/measure latency waits

# The slopes of docs/CAPACITY.md, about six minutes.
capacity: build
	bin/measure capacity

fuzz:
	go test -run '^$$' -fuzz FuzzParse -fuzztime 20s ./tree
	go test -run '^$$' -fuzz FuzzParse -fuzztime 20s ./settings
	go test -run '^$$' -fuzz FuzzRequest -fuzztime 20s ./front
	go test -run '^$$' -fuzz FuzzFrame -fuzztime 20s ./link
	go test -run '^$$' -fuzz FuzzDecode -fuzztime 20s ./job
	go test -run '^$$' -fuzz FuzzKeyOf -fuzztime 20s ./platform
	go test -run '^$$' -fuzz FuzzRows -fuzztime 20s ./platform
	go test -run '^$$' -fuzz FuzzEntry -fuzztime 20s ./platform

# Days of the users' bench, where it is there: FLEETBENCH is its program, SITES the
# site files, DAYS how many days are drawn on each.
hunt:
	FLEETBENCH="$(FLEETBENCH)" SITES="$(SITES)" DAYS="$(DAYS)" PAIRS="$(PAIRS)" SEED="$(SEED)" test/hunt/hunt.sh

# The result is committed, so that nothing else needs the generator.
generate:
	go build -o bin/protoc-gen-go google.golang.org/protobuf/cmd/protoc-gen-go
	go build -o bin/genwire ./internal/genwire
	cd wire && $(CURDIR)/bin/genwire $(CURDIR)/bin/protoc-gen-go wire.proto
