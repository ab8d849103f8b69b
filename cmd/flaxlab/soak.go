package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"time"

	"flaxrelay/internal/lab/harness"
	"flaxrelay/internal/lab/soak"
)

// soakCommand plays randomized faults against real front ends.
type soakCommand struct {
	Flaxrelay string        `name:"flaxrelay" placeholder:"FILE" help:"The flaxrelay program; by default it is built from this directory."`
	Seed      uint64        `name:"seed" default:"1" help:"The first seed."`
	Seeds     int           `name:"seeds" default:"1" help:"How many seeds to play, one after the other."`
	Duration  time.Duration `name:"duration" default:"12s" help:"Of one run, without its end."`
	FrontEnds int           `name:"front-ends" default:"6" help:"Front-end processes."`
	Engines   int           `name:"engines" default:"12" help:"Engine processes."`
	Clients   int           `name:"clients" default:"32" help:"Clients."`
	Folder    string        `name:"folder" placeholder:"DIR" help:"Keeps logs here; by default they go with the run, unless it broke a rule."`
	Verbose   bool          `name:"verbose" help:"Print each trouble as it begins."`
}

var errRulesBroken = errors.New("rules were broken")

// Run plays the seeds and fails if any of them broke a rule.
func (c *soakCommand) Run() error {
	folder, program := c.Folder, c.Flaxrelay
	if folder == "" {
		folder = os.TempDir()
	}
	if program == "" {
		built, err := os.MkdirTemp("", "flaxlab-soak-")
		if err != nil {
			return err
		}
		defer removeFolder(built)
		if program, err = harness.Build(context.Background(), repositoryRoot, built); err != nil {
			return err
		}
	}
	self, err := os.Executable()
	if err != nil {
		return err
	}
	broken := 0
	for i := range c.Seeds {
		options := soak.Options{
			Program: program, Self: self, Folder: folder, Seed: c.Seed + uint64(i), Duration: c.Duration,
			FrontEnds: c.FrontEnds, Engines: c.Engines, Clients: c.Clients,
		}
		if c.Verbose {
			options.Log = os.Stdout
		}
		result, err := soak.Run(options)
		if err != nil {
			return err
		}
		fmt.Print(result)
		if len(result.Violations) > 0 {
			broken++
			fmt.Printf("  logs: %s\n", result.Folder)
		} else if c.Folder == "" {
			removeFolder(result.Folder)
		}
	}
	fmt.Printf("%d of %d seeds broke a rule\n", broken, c.Seeds)
	if broken > 0 {
		return errRulesBroken
	}
	return nil
}
