.PHONY: deps build test spec demo

deps:
	go mod download

# netcgo and osusergo are left to cgo, so that the binary is linked to libc.
build:
	CGO_ENABLED=1 go build -tags netcgo -o bin/tarragondrum ./cmd/tarragondrum

# Tests listed in KNOWN-RED.txt are skipped and printed by .ci/run.
KNOWN_RED := $(shell sed -n 's/^test \(Test[A-Za-z0-9_]*\).*/^\1$$/p' KNOWN-RED.txt 2>/dev/null | paste -sd'|')

test:
	go test -race -timeout 8m $(if $(KNOWN_RED),-skip '$(KNOWN_RED)') ./...

spec:
	spec/check

demo: build
	bin/tarragondrum demo
