// Package enginetest lets the test of an engine client play the engine, message by
// message, and compares the exchanged messages with a golden file. Only tests import it.
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
	// Timeout limits every wait for the client.
	Timeout = 10 * time.Second
	// engineID is the id of the only engine.
	engineID = "e1"
	// pollInterval is the pause between two checks of a condition.
	pollInterval = time.Millisecond
)

// fixedClock always returns the same time. The rest of an attempt's timeout is then always its
// full timeout, so that the golden files contain no measured times.
type fixedClock struct{}

func (fixedClock) Now() time.Duration { return time.Hour }

// Environment contains the arguments with which an engine client is created.
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
	// PrintServed writes the report of a served attempt.
	PrintServed func(io.Writer, *lifecycle.Request, lifecycle.AttemptReport)
}

// Exchange is a scripted engine with the client under test. It owns the transcript, whose lines
// begin with `> ` for bytes of the client, with `< ` for bytes of the engine, and with `= ` for
// reports of the client. Unless their comments say otherwise, methods must be called on the test's
// goroutine.
type Exchange struct {
	// Client is the client under test. It must be called in Do.
	Client lifecycle.EngineClient
	// Counters are the client's. They must be read in Do.
	Counters *metrics.Counters
	// Reader reads the bytes that the client writes on the connection accepted last.
	Reader *bufio.Reader

	// T is the test that plays the engine.
	T *testing.T

	loop       *eventloop.Loop
	dispatcher *lifecycle.Dispatcher
	listener   *net.TCPListener
	startedAt  time.Duration   // of the engine; belongs to the event loop's goroutine
	connection *net.TCPConn    // nil: none is open
	printed    map[string]bool // the lines of counters that the transcript contains
	transcript bytes.Buffer
	served     servedPrinter
}

// New starts a client whose endpoint list contains the scripted engine.
func New(t *testing.T, protocol Protocol) *Exchange {
	t.Helper()
	exchange := &Exchange{
		T:        t,
		Counters: metrics.New(),
		printed:  map[string]bool{},
		served:   servedPrinter{print: protocol.PrintServed},
	}
	environment := Environment{Counters: exchange.Counters, Log: slog.New(slog.DiscardHandler)}
	exchange.Check(json.Unmarshal([]byte(protocol.Settings), &environment.Site))
	exchange.listener = tcptest.Listen(t, tcptest.AnyLoopbackPort)
	exchange.startLoop(&environment)
	exchange.Client = protocol.NewClient(environment)
	exchange.dispatcher.SetEngineClient(exchange.Client)
	exchange.Do(func() { exchange.updateEndpoint(policy.EngineReady) })
	return exchange
}

// startLoop starts the event loop, with a dispatcher that belongs to its goroutine.
func (x *Exchange) startLoop(environment *Environment) {
	x.T.Helper()
	var err error
	x.loop, err = eventloop.New()
	x.Check(err)
	environment.Loop = x.loop
	environment.Dispatcher, err = lifecycle.NewDispatcher(
		environment.Site.Policy, 1, fixedClock{}, timerqueue.New(), x.Counters, environment.Log,
	)
	x.Check(err)
	x.dispatcher = environment.Dispatcher
	x.dispatcher.SetCostObserver(&x.served)
	eventlooptest.Run(x.T, x.loop)
}

// Check ends the test on an error.
func (x *Exchange) Check(err error) {
	x.T.Helper()
	if err != nil {
		x.T.Fatalf("%v; up to here:\n%s", err, x.transcript.String())
	}
}

// Do runs f on the event loop's goroutine, and waits for it.
func (x *Exchange) Do(f func()) { eventlooptest.Do(x.loop, f) }

// Post schedules f on the event loop's goroutine, after the functions that were posted before.
func (x *Exchange) Post(f func()) { x.loop.Post(f) }

// BlockLoop runs f while the event loop's goroutine is blocked. It then runs next on that
// goroutine, before the loop handles the events that f caused.
func (x *Exchange) BlockLoop(f, next func()) {
	blocked := make(chan struct{})
	release := make(chan struct{})
	done := make(chan struct{})
	x.Post(func() {
		close(blocked)
		<-release
		next()
		close(done)
	})
	<-blocked
	func() {
		defer close(release) // also if f ends the test
		f()
	}()
	<-done
}

// updateEndpoint applies an entry of the endpoint list. It belongs to the event loop's goroutine.
func (x *Exchange) updateEndpoint(state policy.EngineState) {
	x.dispatcher.UpdateEndpoints(policy.UpdateDelta, []lifecycle.Endpoint{{
		Address: x.listener.Addr().String(),
		Engine:  policy.Engine{ID: engineID, Zone: "a", Kind: "k", State: state, StartedAt: x.startedAt},
	}})
}

// OnServed makes the event loop's goroutine call f when an attempt is served, before the client
// handles the bytes after the response. It must be called in Do.
func (x *Exchange) OnServed(f func()) { x.served.onServed = f }

// RestartEngine makes the endpoint list report a restart of the engine, which retires its
// connections. It must be called in Do.
func (x *Exchange) RestartEngine() {
	x.startedAt += time.Second
	x.updateEndpoint(policy.EngineReady)
}

// RemoveEngineEntry removes the engine from the endpoint list. It must be called in Do.
func (x *Exchange) RemoveEngineEntry() { x.updateEndpoint(policy.EngineRemoved) }

// NewAttempt returns an attempt for the request. The attempt has not begun.
func (x *Exchange) NewAttempt(request *lifecycle.Request, timeout time.Duration) *lifecycle.Attempt {
	request.ObserverData = "observed" // without it the observer is not called
	return &lifecycle.Attempt{Request: request, Engine: engineID, StartedAt: fixedClock{}.Now(), Timeout: timeout}
}

// Start begins the attempt.
func (x *Exchange) Start(attempt *lifecycle.Attempt) { x.Do(func() { x.Client.Start(attempt) }) }

// StartAnd begins the attempt and calls next in the same turn of the event loop. A dial that
// the attempt has begun is then still under way.
func (x *Exchange) StartAnd(attempt *lifecycle.Attempt, next func()) {
	x.Do(func() {
		x.Client.Start(attempt)
		next()
	})
}

// Abandon abandons the attempt.
func (x *Exchange) Abandon(attempt *lifecycle.Attempt) { x.Do(func() { x.Client.Abandon(attempt) }) }

// Withdraw withdraws the attempt, and ends the test if that is not possible.
func (x *Exchange) Withdraw(attempt *lifecycle.Attempt) {
	x.T.Helper()
	withdrawn := false
	x.Do(func() { withdrawn = x.Client.Withdraw(attempt) })
	if !withdrawn {
		x.T.Fatalf("an attempt that was not written could not be withdrawn; up to here:\n%s", x.transcript.String())
	}
}

// Accept accepts the next connection.
func (x *Exchange) Accept() {
	x.T.Helper()
	x.Check(x.listener.SetDeadline(time.Now().Add(Timeout)))
	connection, err := x.listener.AcceptTCP()
	x.Check(err)
	x.T.Cleanup(func() { _ = connection.Close() })
	x.Check(connection.SetDeadline(time.Now().Add(Timeout)))
	x.connection = connection
	x.Reader = bufio.NewReader(connection)
}

// Connected reports whether a connection was accepted and neither the test nor the client has
// closed it.
func (x *Exchange) Connected() bool { return x.connection != nil }

// Printf writes to the transcript.
func (x *Exchange) Printf(format string, args ...any) { fmt.Fprintf(&x.transcript, format, args...) }

// Write sends messages of the engine in one piece, each on its own line of the
// transcript.
func (x *Exchange) Write(messages ...[]byte) {
	x.T.Helper()
	for _, message := range messages {
		x.Printf("< %q\n", message)
	}
	_, err := x.connection.Write(bytes.Join(messages, nil))
	x.Check(err)
}

// Disconnect closes the connection from the engine's side.
func (x *Exchange) Disconnect() {
	x.T.Helper()
	x.Printf("< end of the connection\n")
	x.Check(x.connection.Close())
	x.connection = nil
}

// Reset resets the connection from the engine's side.
func (x *Exchange) Reset() {
	x.T.Helper()
	x.Printf("< reset of the connection\n")
	x.Check(x.connection.SetLinger(0))
	x.Check(x.connection.Close())
	x.connection = nil
}

// AwaitEnd waits until the attempt has ended, and prints its status and its result.
func (x *Exchange) AwaitEnd(attempt *lifecycle.Attempt) {
	x.T.Helper()
	x.await("the end of the attempt", attempt.Ended)
	x.Do(func() { _, _ = x.served.output.WriteTo(&x.transcript) })
	x.PrintCounters(metrics.AttemptsEnded.With("").Name())
}

// PrintCounters prints the counters whose names begin with the prefix, except for those that
// were printed with the same value before.
func (x *Exchange) PrintCounters(prefix string) {
	var counters bytes.Buffer
	x.Do(func() { x.Counters.Print(&counters) })
	for line := range strings.Lines(counters.String()) {
		if strings.HasPrefix(line, "count "+prefix) && !x.printed[line] {
			x.printed[line] = true
			x.Printf("= %s", strings.TrimPrefix(line, "count "))
		}
	}
}

// await waits until the condition is true. It calls condition on the event loop's goroutine.
func (x *Exchange) await(what string, condition func() bool) {
	x.T.Helper()
	for deadline := time.Now().Add(Timeout); ; time.Sleep(pollInterval) {
		holds := false
		x.Do(func() { holds = condition() })
		if holds {
			return
		}
		if time.Now().After(deadline) {
			x.T.Fatalf("%s did not come; up to here:\n%s", what, x.transcript.String())
		}
	}
}

// PrintConnections waits until all connections have ended, and prints their counters.
func (x *Exchange) PrintConnections() {
	x.T.Helper()
	x.await("the end of all connections", func() bool {
		dialed := x.Counters.Get(metrics.EngineConnectionsDialed)
		return x.Counters.Sum(metrics.EngineConnectionsClosed.With("").Name()) == dialed
	})
	x.PrintCounters("engine-connections.")
}

// RemoveEngine removes the engine from the endpoint list and awaits the end of its idle
// connection.
func (x *Exchange) RemoveEngine() {
	x.T.Helper()
	x.Do(x.RemoveEngineEntry)
	x.AwaitClose()
}

// AwaitClose prints everything that the client writes up to the end of its connection.
func (x *Exchange) AwaitClose() {
	x.T.Helper()
	rest, err := io.ReadAll(x.Reader)
	if len(rest) > 0 {
		x.Printf("> %q\n", rest)
	}
	if !errors.Is(err, syscall.ECONNRESET) {
		x.Check(err)
	}
	x.Printf("> end of the connection\n")
	_ = x.connection.Close()
	x.connection = nil
}

// CompareGolden compares the transcript with the golden file of this name.
func (x *Exchange) CompareGolden(name string) {
	x.T.Helper()
	golden.Compare(x.T, filepath.Join("testdata", "golden", name+".txt"), x.transcript.Bytes())
}
