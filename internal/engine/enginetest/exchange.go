// Package enginetest lets the test of an engine client play the engine, message by
// message, and compares what was exchanged with a golden file. Only tests import it.
package enginetest

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"flaxrelay/internal/config"
	"flaxrelay/internal/eventloop"
	"flaxrelay/internal/eventloop/eventlooptest"
	"flaxrelay/internal/golden"
	"flaxrelay/internal/lifecycle"
	"flaxrelay/internal/metrics"
	"flaxrelay/internal/tcptest"
	"flaxrelay/internal/timerqueue"
	"flaxrelay/policy"
)

const (
	// Timeout bounds every wait for the client.
	Timeout = 10 * time.Second
	// engineID is the id of the one engine.
	engineID = "e1"
	// pollInterval is the pause between two looks at a state that the client sets.
	pollInterval = time.Millisecond
)

// fixedClock stands still: the time that an attempt has left is then its whole timeout,
// and the golden files need no normalising.
type fixedClock struct{}

func (fixedClock) Now() time.Duration { return time.Hour }

// Environment is what an engine client is made of.
type Environment struct {
	Loop       *eventloop.Loop
	Dispatcher *lifecycle.Dispatcher
	Site       config.Settings
	Counters   *metrics.Counters
	Log        *slog.Logger
}

// Protocol is the client under test.
type Protocol struct {
	// Settings are the site's, as JSON.
	Settings string
	// NewClient returns the client under test.
	NewClient func(Environment) lifecycle.EngineClient
	// PrintServed writes what came with the end of a served attempt.
	PrintServed func(io.Writer, *lifecycle.Request, lifecycle.AttemptReport)
}

// Exchange is a scripted engine with the client under test, and the transcript of what
// was exchanged so far: `> ` by the client, `< ` by the engine, `= ` what the client
// made of it.
type Exchange struct {
	// Client is the client under test, to be called by Do.
	Client lifecycle.EngineClient
	// Counters are the client's, to be read by Do.
	Counters *metrics.Counters
	// Reader reads what the client writes on the connection accepted last.
	Reader *bufio.Reader

	t           *testing.T
	loop        *eventloop.Loop
	dispatcher  *lifecycle.Dispatcher
	listener    *net.TCPListener
	connection  net.Conn // nil: none is open
	printed     map[string]bool
	transcript  bytes.Buffer
	served      bytes.Buffer // belongs to the event loop's goroutine
	printServed func(io.Writer, *lifecycle.Request, lifecycle.AttemptReport)
}

// New starts a client whose endpoint list holds the scripted engine.
func New(t *testing.T, protocol Protocol) *Exchange {
	t.Helper()
	x := &Exchange{t: t, Counters: metrics.New(), printed: map[string]bool{}, printServed: protocol.PrintServed}
	env := Environment{Counters: x.Counters, Log: slog.New(slog.DiscardHandler)}
	x.Check(json.Unmarshal([]byte(protocol.Settings), &env.Site))
	x.listener = tcptest.Listen(t, tcptest.AnyLoopbackPort)
	var err error
	x.loop, err = eventloop.New()
	x.Check(err)
	env.Loop = x.loop
	env.Dispatcher, err = lifecycle.NewDispatcher(env.Site.Policy, 1, fixedClock{}, timerqueue.New(), x.Counters, env.Log)
	x.Check(err)
	x.dispatcher = env.Dispatcher
	env.Dispatcher.SetCostObserver(x)
	x.Client = protocol.NewClient(env)
	env.Dispatcher.SetEngineClient(x.Client)
	eventlooptest.Run(t, x.loop)
	x.setEngineState(policy.EngineReady)
	return x
}

// Check ends the test on an error.
func (x *Exchange) Check(err error) {
	x.t.Helper()
	if err != nil {
		x.t.Fatalf("%v; up to here:\n%s", err, x.transcript.String())
	}
}

// Do runs f on the event loop's goroutine, and waits for it.
func (x *Exchange) Do(f func()) { eventlooptest.Do(x.loop, f) }

func (x *Exchange) setEngineState(state policy.EngineState) {
	endpoint := lifecycle.Endpoint{
		Address: x.listener.Addr().String(),
		Engine:  policy.Engine{ID: engineID, Zone: "a", Kind: "k", State: state},
	}
	x.Do(func() { x.dispatcher.UpdateEndpoints(policy.UpdateDelta, []lifecycle.Endpoint{endpoint}) })
}

// Start begins an attempt for the request. The function change, if there is one,
// changes the attempt first.
func (x *Exchange) Start(request *lifecycle.Request, timeout time.Duration, change func(*lifecycle.Attempt)) *lifecycle.Attempt {
	request.ObserverData = "observed" // without it the observer is not called
	attempt := &lifecycle.Attempt{Request: request, Engine: engineID, StartedAt: fixedClock{}.Now(), Timeout: timeout}
	if change != nil {
		change(attempt)
	}
	x.Do(func() { x.Client.Start(attempt) })
	return attempt
}

// Accept takes the next connection.
func (x *Exchange) Accept() {
	x.t.Helper()
	x.Check(x.listener.SetDeadline(time.Now().Add(Timeout)))
	connection, err := x.listener.Accept()
	x.Check(err)
	x.t.Cleanup(func() { _ = connection.Close() })
	x.Check(connection.SetDeadline(time.Now().Add(Timeout)))
	x.connection, x.Reader = connection, bufio.NewReader(connection)
}

// Connected reports whether the client's connection is accepted and its end is not
// awaited yet.
func (x *Exchange) Connected() bool { return x.connection != nil }

// Printf writes to the transcript.
func (x *Exchange) Printf(format string, args ...any) { fmt.Fprintf(&x.transcript, format, args...) }

// Write sends messages of the engine in one piece, each on its own line of the
// transcript.
func (x *Exchange) Write(messages ...[]byte) {
	x.t.Helper()
	for _, message := range messages {
		x.Printf("< %q\n", message)
	}
	_, err := x.connection.Write(bytes.Join(messages, nil))
	x.Check(err)
}

// AwaitEnd waits until the attempt is over, and prints how it ended and what was read.
func (x *Exchange) AwaitEnd(attempt *lifecycle.Attempt) {
	x.t.Helper()
	for deadline := time.Now().Add(Timeout); ; time.Sleep(pollInterval) {
		ended := false
		x.Do(func() { ended = attempt.Ended() })
		if ended {
			break
		}
		if time.Now().After(deadline) {
			x.t.Fatalf("the attempt never ended; up to here:\n%s", x.transcript.String())
		}
	}
	var counters bytes.Buffer
	x.Do(func() {
		x.Counters.Print(&counters)
		_, _ = x.served.WriteTo(&x.transcript)
	})
	for line := range strings.Lines(counters.String()) {
		if strings.HasPrefix(line, "count attempts.ended.") && !x.printed[line] {
			x.printed[line] = true
			x.Printf("= %s", strings.TrimPrefix(line, "count "))
		}
	}
}

// ObserveServed prints what came with the end of a served attempt.
func (x *Exchange) ObserveServed(request *lifecycle.Request, report lifecycle.AttemptReport, _ time.Duration) {
	x.printServed(&x.served, request, report)
}

// ObserveTimeout does nothing: the counters tell of a timeout.
func (x *Exchange) ObserveTimeout(*lifecycle.Request, time.Duration) {}

// Release does nothing: no request holds anything of the observer's.
func (x *Exchange) Release(*lifecycle.Request) {}

// RemoveEngine takes the engine off the endpoint list, which closes the idle
// connection, and awaits its end.
func (x *Exchange) RemoveEngine() {
	x.t.Helper()
	x.setEngineState(policy.EngineRemoved)
	x.AwaitClose()
}

// AwaitClose prints all that the client still writes up to the end of its connection:
// nothing is left out of the golden file.
func (x *Exchange) AwaitClose() {
	x.t.Helper()
	rest, err := io.ReadAll(x.Reader)
	if len(rest) > 0 {
		x.Printf("> %q\n", rest)
	}
	if !errors.Is(err, syscall.ECONNRESET) {
		x.Check(err)
	}
	x.Printf("> end of the connection\n")
	x.connection = nil
}

// CompareGolden compares the transcript with the golden file of this name.
func (x *Exchange) CompareGolden(name string) {
	x.t.Helper()
	golden.Compare(x.t, filepath.Join("testdata", "golden", name+".txt"), x.transcript.Bytes())
}
