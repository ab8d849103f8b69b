package main

import (
	"testing"

	"flaxrelay/internal/clitest"
)

// Commands, flags and arguments keep their names.
func TestCommandLineNames(t *testing.T) {
	clitest.CheckNames(t, "flaxrelay", &cli{}, "testdata/flags.golden")
}
