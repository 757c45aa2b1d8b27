# Build, test, lint and run, as .ci/run and the README have it.
.PHONY: build test race lint tools run demo clean

build:
	mkdir -p bin && go build -o bin/ ./cmd/...

test:
	go test -count=1 -p 1 ./...

race:
	go test -race -count=1 ./...

lint:
	test -z "$$(gofmt -l .)" && go vet ./... && go vet -tags platform ./cmd/canvasrouter

# Development tools. `gopls rename FILE:LINE:COLUMN NAME` follows all uses of an identifier.
tools:
	go install golang.org/x/tools/gopls@v0.23.0

# Two nodes, the first on 127.0.0.1:8081, and a stand-in fleet behind them, until interrupted.
run: build
	exec bin/canvaslab up

# An experiment: half of the servers fall silent. Prints where its report is.
demo: build
	bin/canvaslab run zone-lost --report report

clean:
	rm -rf bin report
