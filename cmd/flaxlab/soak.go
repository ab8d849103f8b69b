package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"time"

	"flaxrelay/internal/lab/soak"
)

// soakCommand injects random faults into real front ends.
type soakCommand struct {
	programFlag
	Seed      uint64        `default:"1" help:"The first seed."`
	Seeds     int           `default:"1" help:"Number of seeds, which run one after the other."`
	Duration  time.Duration `default:"12s" help:"Time in which faults begin; faults and requests may end later."`
	FrontEnds int           `default:"6" help:"Front-end processes."`
	Engines   int           `default:"12" help:"Engine processes."`
	Clients   int           `default:"32" help:"Clients."`
	Folder    string        `placeholder:"FOLDER" help:"Keep the logs of all runs there, not only of failed ones."`
	Verbose   bool          `help:"Print each fault as it begins."`
}

var errViolations = errors.New("rules were violated")

// Run runs the seeds one after the other. It returns an error if any run violated a rule.
func (c *soakCommand) Run() error {
	program, cleanUp, err := c.frontEndProgram(context.Background())
	if err != nil {
		return err
	}
	defer cleanUp()
	engineProgram, err := os.Executable() // main calls soak.RunEngineProcess
	if err != nil {
		return fmt.Errorf("path of the engines' program: %w", err)
	}
	violated := 0
	for i := range c.Seeds {
		result, err := soak.Run(c.options(program, engineProgram, c.Seed+uint64(i)))
		if err != nil {
			return err
		}
		c.report(result)
		if len(result.Violations) > 0 {
			violated++
		}
	}
	fmt.Printf("%d of %d seeds violated a rule\n", violated, c.Seeds)
	if violated > 0 {
		return errViolations
	}
	return nil
}

// options returns the options of the run with a seed.
func (c *soakCommand) options(frontEndProgram, engineProgram string, seed uint64) soak.Options {
	options := soak.Options{
		FrontEndProgram: frontEndProgram,
		EngineProgram:   engineProgram,
		Directory:       c.Folder,
		Seed:            seed,
		Duration:        c.Duration,
		FrontEnds:       c.FrontEnds,
		Engines:         c.Engines,
		Clients:         c.Clients,
	}
	if options.Directory == "" {
		options.Directory = os.TempDir()
	}
	if c.Verbose {
		options.Log = os.Stdout
	}
	return options
}

// report prints the result of a run. It removes the logs of a run without violations, unless --folder sets a
// directory for the logs.
func (c *soakCommand) report(result *soak.Result) {
	fmt.Print(result)
	if len(result.Violations) > 0 {
		fmt.Printf("  logs: %s\n", result.Directory)
	} else if c.Folder == "" {
		removeDirectory(result.Directory)
	}
}
