package main

import (
	"testing"

	"flaxrelay/internal/clitest"
)

func TestCommandLine_KeepsItsNames(t *testing.T) {
	clitest.CheckNames(t, "flaxrelay", &cli{}, "testdata/flags.golden")
}
