# build, test, lint and run; see README.md.
.PHONY: build test lint run debug

build:
	mkdir -p bin && go build -o bin/ ./cmd/...

# The same program with what must hold asserted instead of counted.
debug:
	mkdir -p bin && go build -tags debug -o bin/ ./cmd/...

test:
	go test -count=1 -p 2 ./...
	go test -count=1 -p 2 -tags debug ./internal/...

lint:
	.ci/lint

# CONFIG names the configuration file.
run: build
	NODE_CONFIG=$(or $(CONFIG),$(NODE_CONFIG)) bin/willowdeck serve

# Regenerates the messages of the serving system; needs protoc and protoc-gen-go.
protobuf:
	protoc --go_out=. --go_opt=module=willowdeck internal/serving/wirepb/serving.proto
