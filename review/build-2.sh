#!/bin/sh
# Builds the stand-ins and the driver of the cases 6 to 10. They use the standard library alone.
set -eu
cd "$(dirname "$0")/kit-2"
mkdir -p ../../bin
go build -o ../../bin/review-2 .
