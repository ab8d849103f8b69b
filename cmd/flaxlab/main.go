// Command flaxlab generates workloads and runs experiments: traffic whose true classes
// and costs are known, evaluations of parts of the front end on it, and a front end with
// fake engines and discovery to try out. Serving needs nothing of it.
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
	Traffic trafficCommand `name:"traffic" cmd:"" help:"Generate, show and summarize recorded traffic."`
	Shapes  shapesCommand  `name:"shapes" cmd:"" help:"Evaluate the classifier of statements, flood its cache and measure its cost."`
	Try     tryCommand     `name:"try" cmd:"" help:"Start fake engines, an event bus, a Consul stand-in and both front ends on loopback, until Ctrl-C."`
	Soak    soakCommand    `name:"soak" cmd:"" help:"Play randomized faults against real front ends on loopback and check the rules."`
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
