// Package enginetest lets the test of an engine client play the engine, message by
// message, and compares the exchanged messages with a golden file. Only tests import it.
package enginetest

import (
	"encoding/json"
	"log/slog"
	"testing"
	"time"

	"flaxrelay/internal/eventloop"
	"flaxrelay/internal/eventloop/eventlooptest"
	"flaxrelay/internal/lifecycle"
	"flaxrelay/internal/metrics"
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

// fixedClock always returns the same time. The time until an attempt's timeout is then always the
// full timeout, so that the golden files contain no measured times.
type fixedClock struct{}

func (fixedClock) Now() time.Duration { return time.Hour }

// Exchange is the client under test with the engine that a script plays, and the transcript of
// what both do. It runs the client on a separate event loop. Unless their comments say otherwise,
// methods must be called on the test's goroutine.
type Exchange struct {
	*Transcript
	*ScriptedEngine

	// Client is the client under test. It must be called in Do.
	Client lifecycle.EngineClient
	// Counters are the client's counters. They must be read in Do.
	Counters *metrics.Counters

	loop       *eventloop.Loop
	dispatcher *lifecycle.Dispatcher
	startedAt  time.Duration // of the engine; used only on the event loop's goroutine
	served     servedPrinter // used only on the event loop's goroutine
}

// newExchange starts a client whose endpoint list contains the scripted engine.
func newExchange(t *testing.T, setup Setup) *Exchange {
	t.Helper()
	transcript := newTranscript(t)
	exchange := &Exchange{
		Transcript:     transcript,
		ScriptedEngine: newScriptedEngine(transcript),
		Counters:       metrics.New(),
		served:         servedPrinter{print: setup.PrintServed},
	}
	environment := Environment{Counters: exchange.Counters, Log: slog.New(slog.DiscardHandler)}
	exchange.Check(json.Unmarshal([]byte(setup.Settings), &environment.Settings))
	exchange.startLoop(&environment)
	exchange.Client = setup.NewClient(environment)
	exchange.dispatcher.SetEngineClient(exchange.Client)
	exchange.Do(func() { exchange.updateEndpoint(policy.EngineReady) })
	return exchange
}

// startLoop starts the event loop, with a dispatcher that is used only on its goroutine. It adds
// both to the environment.
func (x *Exchange) startLoop(environment *Environment) {
	x.T.Helper()
	var err error
	x.loop, err = eventloop.New()
	x.Check(err)
	environment.Loop = x.loop
	environment.Dispatcher, err = lifecycle.NewDispatcher(
		environment.Settings.Policy, 1, fixedClock{}, timerqueue.New(), x.Counters, environment.Log,
	)
	x.Check(err)
	x.dispatcher = environment.Dispatcher
	x.dispatcher.SetCostObserver(&x.served)
	eventlooptest.Run(x.T, x.loop)
}

// Do runs f on the event loop's goroutine, and returns once f has returned.
func (x *Exchange) Do(f func()) { eventlooptest.Do(x.loop, f) }

// Post schedules f on the event loop's goroutine, after the functions that were posted before.
func (x *Exchange) Post(f func()) { x.loop.Post(f) }

// BlockLoop blocks the event loop's goroutine, and meanwhile calls whileBlocked on the test's
// goroutine. It then calls next on the event loop's goroutine, before the loop handles the events
// that whileBlocked caused.
func (x *Exchange) BlockLoop(whileBlocked, next func()) {
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
		defer close(release) // also if whileBlocked ends the test
		whileBlocked()
	}()
	<-done
}

// updateEndpoint applies an entry of the endpoint list. It must be called on the event loop's
// goroutine.
func (x *Exchange) updateEndpoint(state policy.EngineState) {
	x.dispatcher.UpdateEndpoints(policy.UpdateDelta, []lifecycle.Endpoint{{
		Address: x.address(),
		Engine:  policy.Engine{ID: engineID, Zone: "a", Kind: "k", State: state, StartedAt: x.startedAt},
	}})
}

// RestartEngine makes the endpoint list report a restart of the engine. The client then retires its
// connections to the engine. RestartEngine must be called in Do.
func (x *Exchange) RestartEngine() {
	x.startedAt += time.Second
	x.updateEndpoint(policy.EngineReady)
}

// RemoveEngine removes the engine from the endpoint list. The client then retires its connections
// to the engine. RemoveEngine must be called in Do.
func (x *Exchange) RemoveEngine() { x.updateEndpoint(policy.EngineRemoved) }

// RemoveEngineAndAwaitClose removes the engine from the endpoint list, and waits until the client
// has closed the connection, which must be idle.
func (x *Exchange) RemoveEngineAndAwaitClose() {
	x.T.Helper()
	x.Do(x.RemoveEngine)
	x.AwaitClose()
}

// NewAttempt returns an attempt for the request. The attempt is not started.
func (x *Exchange) NewAttempt(request *lifecycle.Request, timeout time.Duration) *lifecycle.Attempt {
	request.ObserverData = "observed" // without it the observer is not called
	return &lifecycle.Attempt{Request: request, Engine: engineID, StartedAt: fixedClock{}.Now(), Timeout: timeout}
}

// Start calls Client.Start on the event loop's goroutine, and returns once Client.Start has returned.
func (x *Exchange) Start(attempt *lifecycle.Attempt) { x.Do(func() { x.Client.Start(attempt) }) }

// StartThen starts the attempt and calls next in the same turn of the event loop. If the attempt
// needs a dial, the dial is still in progress when next is called.
func (x *Exchange) StartThen(attempt *lifecycle.Attempt, next func()) {
	x.Do(func() {
		x.Client.Start(attempt)
		next()
	})
}

// Abandon calls Client.Abandon on the event loop's goroutine, and returns once Client.Abandon has returned.
func (x *Exchange) Abandon(attempt *lifecycle.Attempt) { x.Do(func() { x.Client.Abandon(attempt) }) }

// Withdraw withdraws the attempt, and ends the test if Client.Withdraw fails.
func (x *Exchange) Withdraw(attempt *lifecycle.Attempt) {
	x.T.Helper()
	withdrawn := false
	x.Do(func() { withdrawn = x.Client.Withdraw(attempt) })
	if !withdrawn {
		x.fatalf("Withdraw failed although the request is not written")
	}
}

// OnServed makes the event loop's goroutine call f when an attempt is served, before the client
// handles the bytes after the response. OnServed must be called in Do.
func (x *Exchange) OnServed(f func()) { x.served.onServed = f }

// AwaitEnd waits until the attempt has ended, and prints its status and its result.
func (x *Exchange) AwaitEnd(attempt *lifecycle.Attempt) {
	x.T.Helper()
	x.await("the end of the attempt", attempt.Ended)
	x.Do(func() {
		_, _ = x.served.output.WriteTo(&x.text)
		x.printCounters(x.Counters, metrics.AttemptsEnded.With("").Name())
	})
}

// PrintConnections waits until all connections are closed, and prints their counters.
func (x *Exchange) PrintConnections() {
	x.T.Helper()
	x.await("the close of all connections", func() bool {
		dialed := x.Counters.Get(metrics.EngineConnectionsDialed)
		return x.Counters.Sum(metrics.EngineConnectionsClosed.With("").Name()) == dialed
	})
	x.Do(func() { x.printCounters(x.Counters, "engine-connections.") })
}

// await waits until the condition is true. It calls condition on the event loop's goroutine.
func (x *Exchange) await(event string, condition func() bool) {
	x.T.Helper()
	for deadline := time.Now().Add(Timeout); ; time.Sleep(pollInterval) {
		holds := false
		x.Do(func() { holds = condition() })
		if holds {
			return
		}
		if time.Now().After(deadline) {
			x.fatalf("timed out waiting for %s", event)
		}
	}
}
