#!/usr/bin/env bash
# Builds the stand-ins of the scripts in review/6 to review/10, into target/. They need no
# library, so that no network is used.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target
(cd review/standin-2 && GOWORK=off GOFLAGS=-mod=mod GOPROXY=off go build -o ../../target/review-standin-2 .)
