// Command flaxrelay is a layer-7 proxy with admission control between query clients and engines. It
// accepts requests, lets package policy decide where each request runs, and relays the responses.
//
// Without a command it serves the platform's HTTP protocol with the configuration file that $LB_CONFIG or
// --config names. With --postgres it serves the PostgreSQL wire protocol with a deploy file. SIGHUP
// reloads the configuration file or the deploy file, SIGUSR1 prints the counters, and SIGTERM and SIGINT
// start a graceful shutdown. Other commands validate files and inspect statement shapes.
package main

import (
	"errors"
	"fmt"
	"os"

	"github.com/alecthomas/kong"
)

const (
	programName = "flaxrelay"
	description = "An L7 proxy with admission control for query engines. " +
		"$LB_CONFIG, --config or --postgres selects what it serves."
)

// cli is the grammar of the command line. A command, flag or argument has the name of its field, in
// lower case and with dashes, unless the field's tag has another name. testdata/flags.golden lists all
// names.
type cli struct {
	LogFormat string `enum:"auto,json,text" default:"auto" help:"Log format: ${enum}."`
	LogLevel  string `enum:"debug,info,warn,error" default:"info" help:"Minimum log level: ${enum}."`

	Serve      serveCommand      `cmd:"" default:"withargs" help:"Serve requests (the default command)."`
	Check      checkCommand      `cmd:"" help:"Check settings and deploy files and report every error."`
	Shapes     shapesCommand     `cmd:"" help:"Show the statistics of statement shapes."`
	Completion completionCommand `cmd:"" help:"Print a completion script for a shell."`
	Version    versionCommand    `cmd:"" help:"Print the version."`
}

// errReported is returned by a command that has already printed or logged its error. main then exits
// with status 1 and prints nothing more.
var errReported = errors.New("already reported")

// legacyFlags maps flags with a single dash, from versions that had no commands, to the flags that
// replaced them.
var legacyFlags = map[string]string{"-config": "--config", "-postgres": "--postgres"}

// modernArguments returns the arguments with legacy flags replaced.
func modernArguments(arguments []string) []string {
	modern := make([]string, len(arguments))
	for i, argument := range arguments {
		if replacement, isLegacy := legacyFlags[argument]; isLegacy {
			argument = replacement
		}
		modern[i] = argument
	}
	return modern
}

func main() {
	if err := runCommandLine(os.Args[1:]); err != nil {
		if !errors.Is(err, errReported) {
			fmt.Fprintln(os.Stderr, programName+":", err)
		}
		os.Exit(1)
	}
}

// runCommandLine parses the arguments and runs the command that they name.
func runCommandLine(arguments []string) error {
	var grammar cli
	parser, err := kong.New(&grammar, kong.Name(programName), kong.UsageOnError(), kong.Description(description))
	if err != nil {
		return fmt.Errorf("command line grammar: %w", err)
	}
	ctx, err := parser.Parse(modernArguments(arguments))
	parser.FatalIfErrorf(err)
	return ctx.Run(&grammar, parser) //nolint:wrapcheck // the error of the command itself
}
