// Command flaxlab is the laboratory of flaxrelay: it generates traffic whose true classes
// and costs are known, evaluates parts of the front end on it, and starts a front end
// with emulated engines and discovery to try it out. Serving needs nothing of it.
package main

import (
	"fmt"
	"os"

	"github.com/alecthomas/kong"
)

const programName = "flaxlab"

// cli is the grammar of the command line.
type cli struct {
	Traffic trafficCommand `name:"traffic" cmd:"" help:"Recorded traffic: make it, look at it, sum it up."`
	Shapes  shapesCommand  `name:"shapes" cmd:"" help:"Judge the classifier of statements, and flood its cache."`
	Try     tryCommand     `name:"try" cmd:"" help:"Start emulated engines, a bus, a Consul stand-in and both fronts on loopback, until Ctrl-C."`
}

func main() {
	var grammar cli
	ctx := kong.Parse(&grammar, kong.Name(programName), kong.UsageOnError(),
		kong.Description("The laboratory of flaxrelay: traffic, models and measurements on this machine's loopback."))
	if err := ctx.Run(); err != nil {
		fmt.Fprintln(os.Stderr, programName+":", err)
		os.Exit(1)
	}
}
