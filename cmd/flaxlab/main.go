// Command flaxlab is the laboratory: it makes traffic whose truth is known, judges the
// gateway's parts on it, and sets up a gateway with emulated surroundings to try. Nothing
// of it is needed to serve.
package main

import (
	"fmt"
	"os"

	"github.com/alecthomas/kong"
)

type cli struct {
	Traffic trafficCommand `name:"traffic" cmd:"" help:"Recorded traffic: make it, look at it, sum it up."`
	Shapes  shapesCommand  `name:"shapes" cmd:"" help:"Judge the classifier of statements, and flood its cache."`
	Try     tryCommand     `name:"try" cmd:"" help:"Start emulated engines, a bus, a Consul stand-in and both fronts on loopback, until Ctrl-C."`
}

func main() {
	var c cli
	ctx := kong.Parse(&c, kong.Name("flaxlab"), kong.UsageOnError(),
		kong.Description("The laboratory of flaxrelay: traffic, models and measurements on this machine's loopback."))
	if err := ctx.Run(); err != nil {
		fmt.Fprintln(os.Stderr, "flaxlab:", err)
		os.Exit(1)
	}
}
