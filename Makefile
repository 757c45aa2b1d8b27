# Build, test, lint and run, as .ci/run and the README have it.
.PHONY: build test race lint run clean

build:
	mkdir -p bin && go build -o bin/ ./cmd/...

test:
	go test -count=1 ./...

race:
	go test -race -count=1 ./...

lint:
	test -z "$$(gofmt -l .)" && go vet ./...

# One node with the example configuration: it listens on 127.0.0.1:8081 and knows one server on 127.0.0.1:8181.
run: build
	NODE_CONFIG=deploy/example.json exec bin/canvasrouter

clean:
	rm -rf bin
