package main

import (
	"context"
	"errors"
	"log/slog"
	"os"
	"os/signal"
	"syscall"
	"time"

	"flaxrelay/internal/config"
	"flaxrelay/internal/logevent"
	"flaxrelay/internal/logging"
)

// serveCommand runs a front end.
type serveCommand struct {
	Config   string `env:"LB_CONFIG" placeholder:"FILE" help:"Configuration of the HTTP front end (JSON)."`
	Postgres string `placeholder:"FILE" help:"Serve PostgreSQL with this deploy file instead of HTTP."`
	Shapes   string `placeholder:"FILE" help:"Shape settings of the HTTP front end (TOML)."`
}

// Run serves until a graceful shutdown ends. It logs each error that prevents the server from starting.
func (c *serveCommand) Run(global *cli) error {
	output := logging.NewAsyncWriter(os.Stderr)
	defer output.Flush(finalFlushTime)
	logger, err := logging.New(output, logging.Options{
		Format:   global.LogFormat,
		Level:    global.LogLevel,
		Terminal: logging.IsTerminal(os.Stderr),
	})
	if err != nil {
		return err
	}
	files := serveFiles{config: c.Config, postgres: c.Postgres, shapes: c.Shapes}
	if err := serve(files, logger, output); err != nil {
		for _, fieldError := range config.FieldErrorsOf(err) {
			logevent.ServerStartFailed.Log(logger,
				slog.String("file", fieldError.File), slog.Int("line", fieldError.Line),
				slog.String("field", fieldError.Field), slog.String("error", fieldError.Problem))
		}
		return errReported
	}
	return nil
}

// finalFlushTime limits how long the program waits at its exit for the log to be written.
const finalFlushTime = 500 * time.Millisecond

// serveFiles are the paths of the files that configure a front end.
type serveFiles struct {
	config   string // configuration of the HTTP front end
	postgres string // deploy file of the PostgreSQL front end; "" selects the HTTP front end
	shapes   string // shape settings of the HTTP front end; "" turns statement statistics off
}

var errNothingToServe = errors.New("nothing to serve: set LB_CONFIG, --config or --postgres")

// serve runs the front end that the files select, and returns when the front end has shut down. The logger
// writes to the output; the counters are printed to the output too.
func serve(files serveFiles, logger *slog.Logger, output *logging.AsyncWriter) error {
	received := subscribeSignals() // first, because before this a signal ends the process at once
	signal.Ignore(syscall.SIGPIPE) // the process must survive a write to a log pipe whose reader has exited
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	s := newServer(logger)
	s.output = output
	if err := s.listen(ctx, files); err != nil {
		return err
	}
	if s.frontEnd == nil {
		logevent.ServerDisabled.Log(logger, slog.String("reason", "the deploy file has no listen address"))
		return nil
	}
	logevent.ServerListening.Log(logger, slog.String("addr", s.frontEnd.Addr()))
	s.scheduleMetricsReport()
	go s.handleSignals(received)
	s.loop.Run()
	s.printCounters()
	return nil
}
