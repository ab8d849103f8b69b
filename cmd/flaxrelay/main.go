// Command flaxrelay is a front end: it takes requests of clients, has the policy
// module decide where each runs, and relays the answers.
//
// Without arguments it serves the platform's protocol as its configuration says
// ($LB_CONFIG); with --postgres, the PostgreSQL wire protocol as a deploy file says.
// HUP has the file read again, USR1 prints the counters; TERM and INT begin a planned
// stop. Other commands check files and show what is known of statements.
package main

import (
	"errors"
	"fmt"
	"os"
	"runtime/debug"

	"flaxrelay/internal/config"
	"flaxrelay/internal/logging"

	"github.com/alecthomas/kong"
)

// cli is the grammar of the command line.
type cli struct {
	LogFormat string `name:"log-format" enum:"auto,json,text" default:"auto" help:"How events are logged: ${enum}; auto is text on a terminal, else JSON."`
	LogLevel  string `name:"log-level" enum:"debug,info,warn,error" default:"info" help:"From which level on events are logged: ${enum}."`

	Serve      serveCommand      `name:"serve" cmd:"" default:"withargs" help:"Serve. This is what flaxrelay does without a command."`
	Check      checkCommand      `name:"check" cmd:"" help:"Read settings and deploy files and name every fault in them."`
	Shapes     shapesCommand     `name:"shapes" cmd:"" help:"What is known of the shapes of statements."`
	Completion completionCommand `name:"completion" cmd:"" help:"Print a script that completes commands and flags in a shell."`
	Version    versionCommand    `name:"version" cmd:"" help:"Print the version."`
}

type serveCommand struct {
	Config   string `name:"config" env:"LB_CONFIG" placeholder:"FILE" help:"The platform's configuration, as JSON."`
	Postgres string `name:"postgres" placeholder:"FILE" help:"Serve the PostgreSQL wire protocol as this deploy file says, in place of the platform's."`
	Shapes   string `name:"shapes" placeholder:"FILE" help:"Estimate by the shapes of statements as this file says; of the platform's front. The PostgreSQL front has [shapes] in its deploy file."`
}

func (c *serveCommand) Run(all *cli) error {
	log, err := logging.New(os.Stderr, logging.Options{Format: all.LogFormat, Level: all.LogLevel})
	if err != nil {
		return err
	}
	if err := run(serving{config: c.Config, postgres: c.Postgres, shapes: c.Shapes}, log); err != nil {
		for _, f := range config.FieldErrorsOf(err) {
			log.Error("server.start-failed", "file", f.File, "line", f.Line, "field", f.Field, "error", f.Problem)
		}
		return errTold
	}
	return nil
}

// errTold is an error that has been told already.
var errTold = errors.New("told")

type versionCommand struct{}

func (versionCommand) Run() error {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return errors.New("this program was built without its version")
	}
	revision, modified := "unknown", ""
	for _, s := range info.Settings {
		switch {
		case s.Key == "vcs.revision":
			revision = s.Value
		case s.Key == "vcs.modified" && s.Value == "true":
			modified = ", changed since"
		}
	}
	fmt.Printf("flaxrelay %s (%s%s), %s\n", info.Main.Version, revision, modified, info.GoVersion)
	return nil
}

// oldFlags are flags of the time before there were commands; they went by one dash.
var oldFlags = map[string]string{"-config": "--config", "-postgres": "--postgres"}

func main() {
	args := make([]string, len(os.Args)-1)
	for i, a := range os.Args[1:] {
		if new, ok := oldFlags[a]; ok {
			a = new
		}
		args[i] = a
	}
	var c cli
	parser, err := kong.New(&c, kong.Name("flaxrelay"), kong.UsageOnError(),
		kong.Description("A gateway between clients and query engines. It serves as $LB_CONFIG, --config or --postgres says."))
	if err != nil {
		fmt.Fprintln(os.Stderr, "flaxrelay:", err)
		os.Exit(1)
	}
	ctx, err := parser.Parse(args)
	parser.FatalIfErrorf(err)
	if err := ctx.Run(&c, parser); err != nil {
		if !errors.Is(err, errTold) {
			fmt.Fprintln(os.Stderr, "flaxrelay:", err)
		}
		os.Exit(1)
	}
}
