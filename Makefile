# Targets: test (what CI runs), build, lint, generate, demo, bench, soak, fuzz.
MODULES := core api daemon client
GO := go
SEEDS ?= 20

.PHONY: test build lint fmt generate bench
test: build lint
	@for m in $(MODULES); do (cd $$m && $(GO) test ./...) || exit 1; done

build:
	$(GO) build -o bin/ ./daemon/... ./client/...

lint: bin/staticcheck
	@files=$$(git ls-files -co --exclude-standard '*.go' | grep -v -e '\.pb\.go$$' -e '\.twirp\.go$$' | xargs gofmt -l); \
	  if [ -n "$$files" ]; then echo "gofmt would change:"; echo "$$files"; exit 1; fi
	@for m in $(MODULES); do (cd $$m && $(GO) vet ./... && ../bin/staticcheck ./...) || exit 1; done

bin/staticcheck: tools/go.mod
	cd tools && GOWORK=off $(GO) build -o ../bin/staticcheck honnef.co/go/tools/cmd/staticcheck

generate:
	cd api/rpc && protoc --go_out=paths=source_relative:. --twirp_out=paths=source_relative:. cicadapulley.proto

# bench runs a set of measurements in under 5 minutes; TITLE heads its table.
bench: build
	scripts/bench.sh "$(TITLE)"
