.PHONY: all build test lint ci demo generate

all: build

build:
	go build ./...

test:
	go test ./...

lint:
	gofmt -l .
	go vet ./...
	go tool staticcheck ./...
	go tool revive -config .ci/revive.toml -set_exit_status ./...
	.ci/borders

ci:
	.ci/run

demo:
	go run . demo

generate:
	proto/generate.sh
