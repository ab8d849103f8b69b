// Command simadapter hosts gateways on standard input and output.
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
