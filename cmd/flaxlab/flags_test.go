package main

import (
	"flag"
	"fmt"
	"os"
	"strings"
	"testing"

	"github.com/alecthomas/kong"
	"github.com/google/go-cmp/cmp"
)

var update = flag.Bool("update", false, "write the golden text anew")

const flagsGolden = "testdata/flags.golden"

// grammar writes a command with its flags and arguments, and those below it.
func grammar(b *strings.Builder, n *kong.Node, path string) {
	fmt.Fprintf(b, "%s\n", path)
	for _, f := range n.Flags {
		fmt.Fprintf(b, "  --%s default=%q enum=%q env=%q\n", f.Name, f.Default, f.Enum, f.Envs)
	}
	for _, p := range n.Positional {
		fmt.Fprintf(b, "  <%s> required=%v\n", p.Name, p.Required)
	}
	for _, child := range n.Children {
		grammar(b, child, path+" "+child.Name)
	}
}

// Commands, flags and arguments keep their names.
func TestCommandLineNames(t *testing.T) {
	parser, err := kong.New(&cli{}, kong.Name("flaxlab"))
	if err != nil {
		t.Fatal(err)
	}
	var got strings.Builder
	grammar(&got, parser.Model.Node, "flaxlab")
	if *update {
		if err := os.WriteFile(flagsGolden, []byte(got.String()), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(flagsGolden)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(string(want), got.String()); diff != "" {
		t.Error(diff)
	}
}
