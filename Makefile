# Targets: test (what CI runs), build, lint, generate, demo, bench, soak, fuzz.
MODULES := core api daemon client
GO := go
SEEDS ?= 20

.PHONY: test build lint fmt generate soak
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

# SEEDS randomised runs under failures, from SEED on; a failing one prints the
# command that repeats it.
SEED ?= 1
soak:
	cd daemon && SOAK_SEED=$(SEED) SOAK_SEEDS=$(SEEDS) $(GO) test ./internal/harness -run 'TestSoak$$' -count=1 -timeout 60m

generate:
	cd api/rpc && protoc --go_out=paths=source_relative:. --twirp_out=paths=source_relative:. cicadapulley.proto
