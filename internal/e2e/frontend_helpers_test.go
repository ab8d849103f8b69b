package e2e

import (
	"encoding/json"
	"io"
	"log/slog"
	"net"
	"os"
	"testing"

	"flaxrelay/internal/config"
	"flaxrelay/internal/engine/lineclient"
	"flaxrelay/internal/engine/pgclient"
	"flaxrelay/internal/eventloop"
	"flaxrelay/internal/eventloop/eventlooptest"
	"flaxrelay/internal/frontend/httpserver"
	"flaxrelay/internal/frontend/pgserver"
	"flaxrelay/internal/lifecycle"
	"flaxrelay/internal/metrics"
	"flaxrelay/internal/tcptest"
	"flaxrelay/policy"
)

// defaultStreams is the limit of requests in flight on one engine connection, unless a test sets another.
const defaultStreams = 32

// server is implemented by the HTTP server and the PostgreSQL server. Drain and Finish must be called on the goroutine
// of the event loop.
type server interface {
	Listen(address string) error
	Addr() string
	Drain()
	Finish()
	CloseListener()
}

// frontEnd is a proxy that runs in the test's process. The dispatcher must be used only on the goroutine of the event
// loop.
type frontEnd struct {
	t          testing.TB
	loop       *eventloop.Loop
	dispatcher *lifecycle.Dispatcher
	counters   *metrics.Counters
	logger     *slog.Logger

	// Tests may change these before the front end serves.
	settings             config.Settings
	httpOptions          httpserver.Options
	pgOptions            pgserver.Options
	maxEngineConnections int // 0: the default of the engine client

	// Set when the front end serves.
	server server
	addr   string
}

// loadRule classifies each INSERT as a load. The idempotency key is the first parameter of the INSERT.
var loadRule = pgserver.Rule{Prefix: "insert into", Class: "load", KeyParameter: 1}

// newFrontEnd returns a front end that does not serve yet. It has the settings of the deploy directory. If change is
// not nil, newFrontEnd calls it to change these settings.
func newFrontEnd(tb testing.TB, change func(*policy.Settings)) *frontEnd {
	tb.Helper()
	raw, err := os.ReadFile("../../deploy/postgres-settings.json")
	if err != nil {
		tb.Fatal(err)
	}
	front := &frontEnd{
		t:         tb,
		counters:  metrics.New(),
		logger:    slog.New(slog.DiscardHandler),
		pgOptions: pgserver.Options{DefaultClass: "lookup", WriteClass: "write", Rules: []pgserver.Rule{loadRule}},
	}
	if err := json.Unmarshal(raw, &front.settings); err != nil {
		tb.Fatal(err)
	}
	front.settings.MaxStreams = defaultStreams
	if change != nil {
		change(&front.settings.Policy)
	}
	if front.loop, err = eventloop.New(); err != nil {
		tb.Fatal(err)
	}
	const seed = 1
	front.dispatcher, err = lifecycle.NewDispatcher(
		front.settings.Policy, seed, front.loop, front.loop.Timers, front.counters, front.logger,
	)
	if err != nil {
		tb.Fatal(err)
	}
	return front
}

// startHTTP calls serveHTTP on a new front end with the settings of the deploy directory.
func startHTTP(tb testing.TB, engines ...string) *frontEnd {
	tb.Helper()
	return newFrontEnd(tb, nil).serveHTTP(engines...)
}

// serveHTTP serves HTTP, with engines of the line protocol at the addresses.
func (f *frontEnd) serveHTTP(engines ...string) *frontEnd {
	f.t.Helper()
	engineClient := lineclient.New(f.loop, f.dispatcher, f.settings, f.counters, f.logger)
	engineClient.MaxConnections = f.maxEngineConnections
	f.dispatcher.SetEngineClient(engineClient)
	f.serve(httpserver.New(f.loop, f.dispatcher, f.httpOptions, f.counters), engines)
	return f
}

// startPostgres calls servePostgres on a new front end with the settings of the deploy directory.
func startPostgres(tb testing.TB, engines ...string) *frontEnd {
	tb.Helper()
	return newFrontEnd(tb, nil).servePostgres(engines...)
}

// servePostgres serves PostgreSQL, with engines at the addresses.
func (f *frontEnd) servePostgres(engines ...string) *frontEnd {
	f.t.Helper()
	f.dispatcher.SetEngineClient(pgclient.New(f.loop, f.dispatcher,
		pgclient.Options{User: "ringwood", Database: "register"}, f.counters, f.logger))
	f.serve(pgserver.New(f.loop, f.dispatcher, f.pgOptions, f.counters), engines)
	return f
}

// serve listens, runs the event loop until the end of the test, and adds the engines at the addresses as ready.
func (f *frontEnd) serve(s server, engines []string) {
	f.t.Helper()
	if err := s.Listen(tcptest.AnyLoopbackPort); err != nil {
		f.t.Fatal(err)
	}
	f.server = s
	f.addr = s.Addr()
	f.t.Cleanup(f.checkAccounting) // runs last: cleanups run in reverse order
	eventlooptest.Run(f.t, f.loop)
	f.t.Cleanup(s.CloseListener) // so that the next test can use its descriptor
	f.updateEndpoints(policy.EngineReady, engines...)
}

// checkAccounting checks, at the end of every test, that each accepted request has one final response or a client that
// disconnected, and that each started attempt ended once.
func (f *frontEnd) checkAccounting() {
	if f.dispatcher.Pending() > 0 { // interrupted by the end of the test
		return
	}
	accepted := f.counters.Sum("requests.accepted.")
	ended := f.counters.Sum("requests.completed.") + f.counters.Sum("requests.disconnected.")
	if accepted != ended {
		f.t.Errorf("%d requests accepted, %d completed or disconnected", accepted, ended)
	}
	startedAttempts := f.counters.Sum("attempts.started.")
	endedAttempts := f.counters.Sum("attempts.ended.")
	if startedAttempts != endedAttempts {
		f.t.Errorf("%d attempts started, %d ended", startedAttempts, endedAttempts)
	}
}

// onLoop runs do on the loop's goroutine and waits until it returns.
func (f *frontEnd) onLoop(do func()) { eventlooptest.Do(f.loop, do) }

// count returns the sum of the counters whose names begin with the prefix.
func (f *frontEnd) count(prefix string) (sum int64) {
	f.onLoop(func() { sum = f.counters.Sum(prefix) })
	return sum
}

// awaitCount waits until the sum of the counters whose names begin with the prefix has reached a value.
func (f *frontEnd) awaitCount(prefix string, atLeast int64) {
	f.t.Helper()
	if !poll(func() bool { return f.count(prefix) >= atLeast }) {
		f.t.Fatalf("%s is %d after %v, want %d", prefix, f.count(prefix), waitLimit, atLeast)
	}
}

// assertCount checks the current sum of the counters whose names begin with the prefix.
func (f *frontEnd) assertCount(prefix string, want int64) {
	f.t.Helper()
	if got := f.count(prefix); got != want {
		f.t.Errorf("%s is %d, want %d", prefix, got, want)
	}
}

// endpointAt returns the endpoint of an engine whose ID is derived from its address.
func endpointAt(addr string, state policy.EngineState) lifecycle.Endpoint {
	return lifecycle.Endpoint{
		Address: addr,
		Engine:  policy.Engine{ID: "e" + addr, Zone: "hall-a", Kind: "std-8", State: state},
	}
}

// updateEndpoints delivers an endpoint update that sets the state of the engines at the addresses.
func (f *frontEnd) updateEndpoints(state policy.EngineState, addrs ...string) {
	f.applyUpdate(policy.UpdateDelta, state, addrs...)
}

// replaceEndpoints delivers an endpoint list that contains only the engines at the addresses.
func (f *frontEnd) replaceEndpoints(addrs ...string) {
	f.applyUpdate(policy.UpdateFull, policy.EngineReady, addrs...)
}

func (f *frontEnd) applyUpdate(mode policy.UpdateMode, state policy.EngineState, addrs ...string) {
	var list []lifecycle.Endpoint
	for _, addr := range addrs {
		list = append(list, endpointAt(addr, state))
	}
	f.onLoop(func() { f.dispatcher.UpdateEndpoints(mode, list) })
}

// awaitBuffered waits until the front end has received at least size bytes that it has not consumed.
func (f *frontEnd) awaitBuffered(size int64) {
	f.t.Helper()
	if !poll(func() bool { return f.loop.BufferedBytes() >= size }) {
		f.t.Fatalf("%d bytes are buffered after %v, want %d", f.loop.BufferedBytes(), waitLimit, size)
	}
}

// deliver writes text to a client's connection and waits until the poller has read it. It must be called on the loop's
// goroutine, in a function that the loop runs: the loop handles the text only after that function has returned.
func (f *frontEnd) deliver(client net.Conn, text string) {
	f.t.Helper()
	before := f.loop.BufferedBytes()
	if _, err := io.WriteString(client, text); err != nil {
		f.t.Error(err)
	}
	if !poll(func() bool { return f.loop.BufferedBytes() >= before+int64(len(text)) }) {
		f.t.Errorf("the poller has not read %q after %v", text, waitLimit)
	}
}
