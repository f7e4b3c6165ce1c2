# SPDX-License-Identifier: Apache-2.0

DEPLOYMENT ?= comhar
SEEDS ?= 20
SECONDS_OF_LOAD ?= 20
# All packages except the two suites in which CI skips the specs of KNOWN-RED.txt: those are run
# by ginkgo.
PACKAGES = $$(go list ./... | grep -v -e /test/proof -e /test/cluster)
# Tests of what a suspended machine assumes when it resumes. They need the build tag faults:
# without it the clock cannot be shifted.
SUSPENDED = go test -tags faults ./internal/clock ./claim ./rows -run Suspension && go test -tags faults ./driver -ginkgo.focus suspended
CLUSTER = go tool ginkgo --timeout=20m --no-color
# Each proof starts its own deployment; four run in parallel.
PROOF = go tool ginkgo --procs=4 --timeout=80m --no-color --seed=1

.PHONY: all build demo test proof soak race lint generate bench capacity fuzz hunt

all: build

build:
	go build -o bin/ ./cmd/dewpass ./test/standin ./test/demo ./test/measure

# Runs a complete deployment of separate processes under a mixed load.
demo: build
	bin/demo --deployment $(DEPLOYMENT) --seconds $(SECONDS_OF_LOAD)
	bin/demo --deployment platform --seconds $(SECONDS_OF_LOAD)

test:
	go test $(PASS_OVER_TESTS) $(PACKAGES)
	$(SUSPENDED)
	$(CLUSTER) $(PASS_OVER) ./test/cluster
	$(PROOF) $(PASS_OVER) ./test/proof

# Runs the proofs with more seeds than `make test`.
proof:
	PROOF_SEEDS=$(SEEDS) $(PROOF) ./test/proof

# Runs the soak test with seeds 1 to SEEDS, about 10 s per seed; see docs/SOAK.md.
soak:
	SOAK=1-$(SEEDS) $(CLUSTER) --procs=4 --timeout=80m --label-filter=soak ./test/cluster

# Runs the tests and the proofs with the race detector; a race report in any log is a failure.
race:
	go test -race $(PACKAGES) ./test/cluster
	PROOF_RACE=1 $(PROOF) ./test/proof

lint:
	@test -z "$$(git ls-files '*.go' | grep -v '\.pb\.go$$' | xargs gofmt -l | tee /dev/stderr)"
	go vet ./...
	go vet -tags faults ./...
	go tool staticcheck ./...

# Benchmarks the scheduling decisions, compared with baselines, and measures them on real processes.
bench: build
	go test -run '^$$' -bench . -benchtime 1x -timeout 30m ./sched -args -plots=$(CURDIR)/docs/plots
	go test -run '^$$' -bench Decision -benchtime 200000x ./sched
	bin/measure latency waits

# Measures the slopes that docs/CAPACITY.md reports; takes about six minutes.
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

# Runs simulated days of the users' benchmark, if it is installed: FLEETBENCH is its program,
# SITES the site files, DAYS the number of random days for each site; see test/hunt/hunt.sh.
hunt:
	FLEETBENCH="$(FLEETBENCH)" SITES="$(SITES)" DAYS="$(DAYS)" PAIRS="$(PAIRS)" SEED="$(SEED)" test/hunt/hunt.sh

# Generates wire/wire.pb.go, which is committed so that no other target needs the generator.
generate:
	go build -o bin/protoc-gen-go google.golang.org/protobuf/cmd/protoc-gen-go
	go build -o bin/genwire ./internal/genwire
	cd wire && $(CURDIR)/bin/genwire $(CURDIR)/bin/protoc-gen-go wire.proto
