.PHONY: build test spec demo

# netcgo and osusergo are left to cgo, so that the binary is linked to libc.
build:
	CGO_ENABLED=1 go build -tags netcgo -o bin/tarragondrum ./cmd/tarragondrum

test:
	go test -race -timeout 8m ./...

spec:
	spec/check

demo: build
	bin/tarragondrum demo
