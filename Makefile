# traildrift: the commands of README.md.

.PHONY: build demo test fmt lint capacity path soak claims recovery

build:
	go build -o bin/ ./cmd/...

demo: build
	scripts/demo.sh

# Everything that CI runs. The crowds come last, one at a time and apart from other load, as they count what a process
# holds; the processes that they meet are built without the race detector.
test: lint
	status=0; \
	go test -race -count=1 -timeout 20m -skip '^TestCrowd(At|Of)' ./... || status=$$?; \
	go test -count=1 -p 1 -timeout 20m -run '^TestCrowd(At|Of)' ./platform ./internal/rig || status=$$?; \
	test $$status -eq 0

lint:
	@test -z "$$(gofmt -l .)" || { gofmt -l .; echo "gofmt: the files above are not formatted"; exit 1; }
	go vet ./...
	go tool -modfile=tools/go.mod staticcheck ./...
	go tool -modfile=tools/go.mod revive -config revive.toml -formatter unix ./...

fmt:
	gofmt -w .

# The slopes of docs/CAPACITY.md: about 5 minutes, up to 100 processes.
capacity: build
	bin/tdfake measure capacity

path: build
	bin/tdfake measure path

# A long randomised run: make soak SEED=n FOR=1m RUNS=3
SEED ?= 1
FOR ?= 30s
RUNS ?= 1
soak: build
	bin/tdfake soak --seed $(SEED) --for $(FOR) --runs $(RUNS)

# The cost of requests that may not be repeated: about 2 minutes.
claims: build
	bin/tdfake measure claims

# What callers notice of killed, frozen and stopped processes: a minute.
recovery: build
	bin/tdfake measure recovery
