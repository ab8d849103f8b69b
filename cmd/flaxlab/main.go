// Command flaxlab generates traffic whose true classes and costs are known, and evaluates the classifier of
// statements on this traffic. It starts front ends with fake engines and discovery for manual tests, and injects
// faults into real front ends. No program that serves requests depends on flaxlab.
package main

import (
	"fmt"
	"os"

	"flaxrelay/internal/lab/soak"

	"github.com/alecthomas/kong"
)

const programName = "flaxlab"

// cli is the grammar of the command line.
type cli struct {
	Traffic trafficCommand `cmd:"" help:"Generate, show and summarize recorded traffic."`
	Shapes  shapesCommand  `cmd:"" help:"Evaluate the classifier of statements, its cache and its cost."`
	Try     tryCommand     `cmd:"" help:"Start fake engines and discovery with both front ends."`
	Soak    soakCommand    `cmd:"" help:"Inject random faults into real front ends and check the rules."`
}

func main() {
	if soak.RunEngineProcess() {
		return
	}
	var grammar cli
	ctx := kong.Parse(&grammar, kong.Name(programName), kong.UsageOnError(),
		kong.Description("Workload generation and experiments for flaxrelay, on this machine's loopback."))
	if err := ctx.Run(); err != nil {
		fmt.Fprintln(os.Stderr, programName+":", err)
		os.Exit(1)
	}
}
