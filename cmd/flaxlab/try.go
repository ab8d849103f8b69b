package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"flaxrelay/internal/lab/fake"
	"flaxrelay/internal/lab/harness"
	"flaxrelay/internal/logging"
)

// tryCommand runs both front ends with fake engines and discovery.
type tryCommand struct {
	programFlag
	Engines  int           `default:"3" help:"Fake engines for each protocol, 1 to 16."`
	HTTP     string        `default:"127.0.0.1:9090" help:"Address of the HTTP front end."`
	Postgres string        `default:"127.0.0.1:5433" help:"Address of the PostgreSQL front end."`
	For      time.Duration `default:"1h" help:"Stop after this time."`
}

// maxEngines limits the fake engines of each protocol, so that their logs stay readable.
const maxEngines = 16

var errFrontEndExited = errors.New("a front end has exited; see its log for the reason")

// engineCountError reports a number of engines that is out of range.
type engineCountError struct{ count int }

func (e *engineCountError) Error() string {
	return fmt.Sprintf("--engines: %d is not in the range from 1 to %d", e.count, maxEngines)
}

// Run starts both front ends with fake engines and discovery, and prints example requests. It stops the front
// ends, the engines and discovery on Ctrl-C, after the time limit, or when a front end has exited.
func (c *tryCommand) Run() error {
	if c.Engines < 1 || c.Engines > maxEngines {
		return &engineCountError{count: c.Engines}
	}
	ctx, stopSignals := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stopSignals()
	ctx, cancel := context.WithTimeout(ctx, c.For)
	defer cancel()
	directory, err := os.MkdirTemp("", "flaxlab-try-")
	if err != nil {
		return fmt.Errorf("directory of the environment: %w", err)
	}
	defer removeDirectory(directory)
	program, cleanUp, err := c.frontEndProgram(ctx)
	if err != nil {
		return err
	}
	defer cleanUp()
	environment, err := harness.New(harness.Options{
		Root:         repositoryRoot,
		Dir:          directory,
		Engines:      c.Engines,
		Work:         fake.PlausibleWork,
		HTTPAddr:     c.HTTP,
		PostgresAddr: c.Postgres,
		EnableShapes: true,
		Log:          logging.NewPlain(os.Stdout),
	})
	if err != nil {
		return err
	}
	defer environment.Close()
	var running frontEnds
	defer running.stop()
	if err := running.start(program, environment); err != nil {
		return err
	}
	if err := c.awaitListeners(ctx); err != nil {
		return err
	}
	c.printInstructions()
	return running.awaitExit(ctx)
}

// awaitListeners waits until both front ends accept connections.
func (c *tryCommand) awaitListeners(ctx context.Context) error {
	for _, address := range []string{c.HTTP, c.Postgres} {
		if err := harness.WaitUntilListening(ctx, address); err != nil {
			return err
		}
	}
	return nil
}

func (c *tryCommand) printInstructions() {
	host, port, _ := strings.Cut(c.Postgres, ":")
	fmt.Printf(`
Both front ends are running. To try them, in another terminal:

  curl -i http://%s/rpc/lookup -H 'Req-Id: 9b1f03aa5c7e2d41' -H 'Req-Wait-Ms: 1500' \
      --data "SELECT day FROM sales_17.orders WHERE tag = '3f9c'"
  psql 'host=%s port=%s user=desk sslmode=disable' -c 'SELECT day FROM stock_17.orders'

Above, the engines log the requests that they receive. Ctrl-C stops everything.
`, c.HTTP, host, port)
}

// frontEnds are the running processes of flaxrelay, one for each protocol.
type frontEnds struct {
	http     *harness.FrontEnd // nil: not started
	postgres *harness.FrontEnd // nil: not started
}

// start starts both front ends in the environment.
func (f *frontEnds) start(program string, environment *harness.Environment) (err error) {
	const textLog = "--log-format=text"
	f.http, err = harness.Start(program, os.Stdout,
		textLog, "serve", "--config", environment.ConfigFile, "--shapes", environment.ShapesFile)
	if err != nil {
		return err
	}
	f.postgres, err = harness.Start(program, os.Stdout, textLog, "serve", "--postgres", environment.DeployFile)
	return err
}

// stop stops the front ends, in the reverse order of their starts.
func (f *frontEnds) stop() {
	if f.postgres != nil {
		f.postgres.Stop()
	}
	if f.http != nil {
		f.http.Stop()
	}
}

// awaitExit waits until the context is done or a front end has exited. It returns an error only if a front
// end has exited.
func (f *frontEnds) awaitExit(ctx context.Context) error {
	var err error
	select {
	case <-ctx.Done():
		return nil
	case err = <-f.http.Exited:
	case err = <-f.postgres.Exited:
	}
	return errors.Join(errFrontEndExited, err)
}
