package main

import (
	"testing"

	"flaxrelay/internal/clitest"
)

// Commands, flags and arguments keep their names.
func TestCommandLine_KeepsItsNames(t *testing.T) {
	clitest.CheckNames(t, "flaxlab", &cli{}, "testdata/flags.golden")
}
