// Command review-2 plays the cases 6 to 10 of the review. It starts the project's programs as
// processes of their own, with the commands of the deploy files, and takes the place of clients,
// engines and discovery on loopback addresses. Each case ends with 1 if the rule was broken, 0 if it
// held, and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// cases are the cases by the name of their folder.
var cases = map[string]func(c *run) error{}

func main() {
	if len(os.Args) != 4 || os.Args[2] != "on" && os.Args[2] != "off" {
		fmt.Fprintln(os.Stderr, "usage: review-2 CASE on|off RECORD    (on, off: the disruption)")
		os.Exit(2)
	}
	play, ok := cases[os.Args[1]]
	if !ok {
		fmt.Fprintln(os.Stderr, "no such case:", os.Args[1])
		os.Exit(2)
	}
	c, err := newRun(os.Args[3], os.Args[2] == "on")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGINT, syscall.SIGTERM, syscall.SIGHUP)
	go func() {
		select {
		case <-stop:
			c.note("ended by a signal")
		case <-time.After(110 * time.Second):
			c.note("the case did not end in time")
		}
		c.cleanUp()
		os.Exit(2)
	}()
	err = play(c)
	c.cleanUp()
	if err != nil {
		c.note("could not run: %v", err)
		fmt.Fprintln(os.Stderr, "could not run:", err)
		c.close()
		os.Exit(2)
	}
	broken := c.broken()
	for _, b := range broken {
		c.note("BROKEN %s", b)
		fmt.Println("BROKEN", b)
	}
	c.note("rule broken %d times", len(broken))
	fmt.Printf("rule broken %d times\n", len(broken))
	c.close()
	if len(broken) > 0 {
		os.Exit(1)
	}
}
