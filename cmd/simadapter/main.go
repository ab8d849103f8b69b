// Command simadapter runs balancers of package policy for the simulator. It reads batches of events
// from standard input and writes the balancers' actions to standard output.
package main

import (
	"fmt"
	"os"

	"flaxrelay/internal/simprotocol"
)

func main() {
	if err := simprotocol.NewHost().Run(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "simadapter:", err)
		os.Exit(1)
	}
}
