#!/bin/sh
# Checks the format with gofumpt and runs golangci-lint. The go.mod of this directory sets their versions,
# and .golangci.yml at the root configures golangci-lint. Fails if either tool finds anything.
# usage: run.sh [PACKAGE...], relative to the root; all packages by default
set -eu
cd "$(dirname "$0")/../.."
if ! command -v go >/dev/null 2>&1; then
    PATH="/usr/local/go/bin:$PATH"
    export PATH
fi
[ $# -gt 0 ] || set -- ./...

# `go build` does not rebuild a tool that is up to date with go.mod and the compiler.
mkdir -p bin/tools
go build -C tools/lint -o ../../bin/tools/ \
    github.com/golangci/golangci-lint/v2/cmd/golangci-lint mvdan.cc/gofumpt

# Prints one line for each Go file of a package, including tests and files for other platforms.
go_files_template='{{$dir := .Dir}}{{range .GoFiles}}{{$dir}}/{{.}}
{{end}}{{range .CgoFiles}}{{$dir}}/{{.}}
{{end}}{{range .TestGoFiles}}{{$dir}}/{{.}}
{{end}}{{range .XTestGoFiles}}{{$dir}}/{{.}}
{{end}}{{range .IgnoredGoFiles}}{{$dir}}/{{.}}
{{end}}'

status=0
files=$(go list -f "$go_files_template" "$@")
unformatted=$(printf '%s\n' "$files" | sed '/^$/d' | tr '\n' '\0' | xargs -0 bin/tools/gofumpt -l)
if [ -n "$unformatted" ]; then
    printf 'gofumpt: not formatted:\n%s\n' "$unformatted" >&2
    status=1
fi
bin/tools/golangci-lint run --config .golangci.yml "$@" || status=1
exit $status
