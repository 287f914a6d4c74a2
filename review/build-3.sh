#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the third review start. They need no library beside Go's own.
set -euo pipefail
cd "$(dirname "$0")/standin-3"
GOWORK=off GOFLAGS=-mod=mod go build -o ../../target/review-3/standin .
