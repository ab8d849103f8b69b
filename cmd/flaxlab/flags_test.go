package main

import (
	"testing"

	"flaxrelay/internal/clitest"
	"flaxrelay/internal/lab/workload"

	"github.com/alecthomas/kong"
)

// Commands, flags and arguments keep their names.
func TestCommandLine_KeepsItsNames(t *testing.T) {
	clitest.CheckNames(t, "flaxlab", &cli{}, "testdata/flags.golden")
}

// The defaults of the workload flags equal workload.Defaults. The two are defined separately.
func TestWorkloadFlags_DefaultToTheModeledDeployment(t *testing.T) {
	var grammar cli
	parser, err := kong.New(&grammar)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := parser.Parse([]string{"traffic", "generate", "unused"}); err != nil {
		t.Fatal(err)
	}
	if got, want := grammar.Traffic.Generate.options(), workload.Defaults(1); got != want {
		t.Errorf("options by default %+v, want %+v", got, want)
	}
}
