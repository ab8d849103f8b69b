// Package clitest checks the command-line interfaces of the programs. Only tests import it.
package clitest

import (
	"fmt"
	"strings"
	"testing"

	"flaxrelay/internal/golden"

	"github.com/alecthomas/kong"
)

// CheckNames compares a program's command-line interface with the golden file at the path: the names
// of its commands, flags and arguments, the defaults, enumerations and environment variables of the
// flags, and which arguments are required. grammar is a pointer to the struct that kong parses into.
func CheckNames(t *testing.T, program string, grammar any, goldenPath string) {
	t.Helper()
	parser, err := kong.New(grammar, kong.Name(program))
	if err != nil {
		t.Fatal(err)
	}
	var got strings.Builder
	writeCommand(&got, parser.Model.Node, program)
	golden.Compare(t, goldenPath, []byte(got.String()))
}

// writeCommand writes a command with its flags, its arguments and, recursively, its subcommands.
func writeCommand(b *strings.Builder, command *kong.Node, path string) {
	fmt.Fprintf(b, "%s\n", path)
	for _, flag := range command.Flags {
		fmt.Fprintf(b, "  --%s default=%q enum=%q env=%q\n", flag.Name, flag.Default, flag.Enum, flag.Envs)
	}
	for _, argument := range command.Positional {
		fmt.Fprintf(b, "  <%s> required=%v\n", argument.Name, argument.Required)
	}
	for _, child := range command.Children {
		writeCommand(b, child, path+" "+child.Name)
	}
}
