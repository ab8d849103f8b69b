package enginetest

import (
	"fmt"
	"io"
	"log/slog"
	"strings"
	"testing"

	"flaxrelay/internal/config"
	"flaxrelay/internal/eventloop"
	"flaxrelay/internal/lifecycle"
	"flaxrelay/internal/metrics"
)

// Script is one golden test, in which the test plays the engine for a new client.
type Script interface {
	// Setup returns how to create the client under test.
	Setup() Setup
	// Play plays the engine.
	Play(x *Exchange)
}

// Setup defines how an Exchange creates the client under test and prints the client's results.
type Setup struct {
	// Settings is the JSON text of Environment.Settings.
	Settings string
	// NewClient returns the client under test.
	NewClient func(Environment) lifecycle.EngineClient
	// PrintServed writes the report of a served attempt.
	PrintServed func(io.Writer, *lifecycle.Request, lifecycle.AttemptReport)
}

// Environment contains the arguments with which an engine client is created.
type Environment struct {
	Loop       *eventloop.Loop
	Dispatcher *lifecycle.Dispatcher
	Settings   config.Settings
	Counters   *metrics.Counters
	Log        *slog.Logger
}

// PlayScripts plays each script as a subtest, and compares the transcript with the golden file
// that has the script's name.
func PlayScripts[S Script](t *testing.T, scripts map[string]S) {
	t.Helper()
	for name, script := range scripts {
		t.Run(name, func(t *testing.T) {
			exchange := newExchange(t, script.Setup())
			script.Play(exchange)
			exchange.compareGolden(name)
		})
	}
}

// Class returns the settings of a class of requests, as JSON.
func Class(name, effect string) string {
	const format = `{"name":%q,"aim-ms":500,"hard-limit-ms":2500,"effect":%q,"group":"all","importance":1}`
	return fmt.Sprintf(format, name, effect)
}

// Settings returns settings as JSON. limits contains JSON fields of the settings' limits, in
// addition to the fields that all tests have.
func Settings(limits string, classes ...string) string {
	parallelism := strings.TrimSuffix(strings.Repeat("1,", len(classes)), ",")
	return fmt.Sprintf(`{"balancers":1,"zone":"a","zones":["a"],"kinds":["k"],"round-ms":5,
		"classes":[%s],
		"extra":{"cores-by-kind":[4],"memory-by-kind-mb":[4096],"parallelism":[%s],"when-short":"queue"},
		"limits":{%s,"most-tries":1},
		"contract":{"cold-ms":10000,"fall-ms":2000,"start-capacity":0.3,
			"stop-sending-within-ms":500,"tip-multiple":3}}`,
		strings.Join(classes, ","), parallelism, limits)
}
