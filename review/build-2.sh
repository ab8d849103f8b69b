#!/bin/sh
# Builds the stand-ins and the driver of the cases 6 to 10 into bin/review-2. It needs Go and no network: the module has
# no dependencies.
set -eu
cd "$(dirname "$0")/kit-2"
mkdir -p ../../bin
GOFLAGS=-mod=mod GOPROXY=off GOWORK=off CGO_ENABLED=0 go build -buildvcs=false -o ../../bin/review-2 .
