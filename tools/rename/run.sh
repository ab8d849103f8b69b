#!/bin/sh
# Renames an identifier and all its uses, in all packages and their tests, with gopls. The go.mod of
# this directory sets its version. gopls refuses a rename that would make another name refer to a
# different declaration.
# usage: run.sh FILE:LINE:COLUMN NEW, with the file relative to the root and the column in bytes
set -eu
cd "$(dirname "$0")/../.."
if [ $# -ne 2 ]; then
    echo "usage: tools/rename/run.sh FILE:LINE:COLUMN NEW" >&2
    exit 2
fi
if ! command -v go >/dev/null 2>&1; then
    PATH="/usr/local/go/bin:$PATH"
    export PATH
fi

mkdir -p bin/tools
go build -C tools/rename -o ../../bin/tools/ golang.org/x/tools/gopls
exec bin/tools/gopls rename -w "$1" "$2"
