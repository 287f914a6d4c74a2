#!/bin/sh
# Builds the stand-ins of the review's scripts into review/bin. Needs no network.
set -eu
cd "$(dirname "$0")/standin"
GOWORK=off GOFLAGS=-mod=mod GOTOOLCHAIN=local CGO_ENABLED=0 go build -buildvcs=false -o ../bin/ .
