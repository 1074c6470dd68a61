# traildrift: the commands of README.md.

.PHONY: build demo test fmt

build:
	go build -o bin/ ./cmd/...

demo: build
	scripts/demo.sh

fmt:
	gofmt -w .
