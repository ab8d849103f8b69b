package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"

	"flaxrelay/internal/lab/fake"
)

// engineVariable is the environment variable that makes a process serve as an engine. Its value is the
// engineOptions in JSON.
const engineVariable = "FLAXLAB_SOAK_ENGINE"

// engineOptions configure an engine process.
type engineOptions struct {
	Addr                string  `json:"addr"`
	Seed                uint64  `json:"seed"`
	FaultyResponseShare float64 `json:"faulty_response_share"` // share of requests that get a faulty response or none
}

// engineEventKind is the kind of an event at an engine process.
type engineEventKind string

const (
	eventListening        engineEventKind = "listening"         // the process accepts connections
	eventAttemptBegan     engineEventKind = "attempt began"     // a request has arrived
	eventAttemptEnded     engineEventKind = "attempt ended"     // the response is about to be written
	eventAttemptCancelled engineEventKind = "attempt cancelled" // the attempt was cancelled, or its connection ended
)

// engineEvent is a message from an engine process to its parent. It is one line of JSON on standard output.
type engineEvent struct {
	Kind          engineEventKind `json:"kind"`
	At            time.Time       `json:"at"` // by the wall clock, which all processes of a run share
	RequestID     string          `json:"request_id,omitempty"`
	Class         string          `json:"class,omitempty"`             // of an attempt that began
	RemainingTime time.Duration   `json:"remaining_time_ns,omitempty"` // of an attempt that began
	Response      responseKind    `json:"response,omitempty"`          // of an attempt that ended
	WorkTime      time.Duration   `json:"work_time_ns,omitempty"`      // of an attempt that ended
}

// RunEngineProcess serves as an engine if this process was started as one, and reports whether it
// was. Programs and test binaries that start runs must call it first.
func RunEngineProcess() bool {
	encoded := os.Getenv(engineVariable)
	if encoded == "" {
		return false
	}
	if err := serveEngine(encoded); err != nil {
		fmt.Fprintln(os.Stderr, "soak engine:", err)
		os.Exit(1)
	}
	return true
}

// serveEngine serves as an engine with the encoded options until the parent exits.
func serveEngine(encodedOptions string) error {
	var options engineOptions
	if err := json.Unmarshal([]byte(encodedOptions), &options); err != nil {
		return fmt.Errorf("decode %s: %w", engineVariable, err)
	}
	listener, err := fake.Listen(options.Addr)
	if err != nil {
		return err
	}
	go exitWithParent()
	e := newEngineProcess(options, os.Stdout)
	e.report(engineEvent{Kind: eventListening})
	fake.ServeLineEngine(listener, e)
	return nil
}

// exitWithParent exits when the parent has exited. The parent never closes its end of the pipe at standard
// input, so that the input ends only when the parent exits.
func exitWithParent() {
	_, _ = io.Copy(io.Discard, os.Stdin)
	os.Exit(0)
}

// engineProcess handles the requests to an engine of a run. It reports each attempt to the parent process, and
// sends faulty responses to a share of the attempts. It implements fake.LineHandler and is safe for
// concurrent use.
type engineProcess struct {
	faultyResponseShare float64

	mu     sync.Mutex // guards the fields below
	random *rand.Rand
	events *json.Encoder
}

// newEngineProcess returns an engine that writes its events to the given writer.
func newEngineProcess(options engineOptions, events io.Writer) *engineProcess {
	const randomStream = 1 // second word of the seed
	return &engineProcess{
		faultyResponseShare: options.FaultyResponseShare,
		random:              rand.New(rand.NewPCG(options.Seed, randomStream)),
		events:              json.NewEncoder(events),
	}
}

// report writes an event with the current time.
func (e *engineProcess) report(event engineEvent) {
	e.mu.Lock()
	event.At = time.Now()
	err := e.events.Encode(event)
	e.mu.Unlock()
	if err != nil {
		os.Exit(1) // the parent has exited
	}
}

func (e *engineProcess) randomFloat() float64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.random.Float64()
}

// Received implements fake.LineHandler.
func (e *engineProcess) Received(request fake.LineRequest) {
	if request.Statement == repeatStatement {
		return
	}
	// A front end always sends both fields. A missing field is reported as its zero value.
	remainingMS, _ := strconv.Atoi(request.Field("ms"))
	e.report(engineEvent{
		Kind: eventAttemptBegan, RequestID: request.ID, Class: request.Field("kind"),
		RemainingTime: time.Duration(remainingMS) * time.Millisecond,
	})
}

// Cancelled implements fake.LineHandler.
func (e *engineProcess) Cancelled(request fake.LineRequest) {
	if request.Statement == repeatStatement {
		return
	}
	e.report(engineEvent{Kind: eventAttemptCancelled, RequestID: request.ID})
}

// Page implements fake.LineHandler.
func (e *engineProcess) Page(requestID, page string) (text string, ok bool) {
	return resultPage(requestID, page), true
}

// pageCount returns the number of pages of a request's result.
func pageCount(requestID string) int {
	const maxPageCount = 3
	return 1 + int(requestID[len(requestID)-1]%maxPageCount)
}

// resultPage returns a page of a result: one row with the request's id, the page's number and the number
// of pages.
func resultPage(requestID, page string) string {
	return fmt.Sprintf("%s\t%s\t%d\n", requestID, page, pageCount(requestID))
}

// responseBehavior is how an engine responds to one request.
type responseBehavior int

const (
	respondNormally responseBehavior = iota
	rejectAtOnce
	failAfterWork
	sendNoise
	truncateResult
	neverRespond
	duplicateResult
)

// duplicateDelay is the time from a result to its duplicate.
const duplicateDelay = 5 * time.Millisecond

// faultyBehaviors are the behaviors from which a faulty response is drawn, each in proportion to its weight.
var faultyBehaviors = []struct {
	behavior responseBehavior
	weight   float64
}{
	{rejectAtOnce, 2}, {failAfterWork, 2}, {sendNoise, 1}, {truncateResult, 1}, {neverRespond, 1}, {duplicateResult, 1},
}

// behaviorFor returns the behavior that a random number from 0 to 1 selects.
func behaviorFor(randomNumber, faultyShare float64) responseBehavior {
	const totalWeight = 8 // of faultyBehaviors
	cumulativeWeight := 0.0
	for _, faulty := range faultyBehaviors {
		cumulativeWeight += faulty.weight
		if randomNumber < faultyShare*cumulativeWeight/totalWeight {
			return faulty.behavior
		}
	}
	return respondNormally
}

// Handle implements fake.LineHandler: it waits for the work time of a request and responds.
func (e *engineProcess) Handle(ctx context.Context, exchange *fake.LineExchange) {
	const minWorkFactor = 0.5 // the work time is uniform from 0.5 to 1.5 times the mean
	request := exchange.Request
	if request.Statement == repeatStatement {
		handleRepeated(ctx, exchange)
		return
	}
	workTime := time.Duration((minWorkFactor + e.randomFloat()) * float64(workTimes[request.Field("kind")]))
	behavior := behaviorFor(e.randomFloat(), e.faultyResponseShare)
	if behavior == rejectAtOnce {
		e.respond(exchange, responseRejected, 0, fake.LineMessage(request.ID, fake.MessageRejected, "-", ""))
		return
	}
	select {
	case <-ctx.Done():
		return
	case <-time.After(workTime):
	}
	result := resultMessage(request.ID, workTime)
	switch behavior {
	case failAfterWork:
		e.respond(exchange, responseFailed, workTime, fake.LineMessage(request.ID, fake.MessageFailed, "-", ""))
	case sendNoise:
		e.respond(exchange, responseMalformed, workTime, request.ID+" DONE batches=1 999999999\r\nnoise")
	case truncateResult:
		e.respond(exchange, responseMalformed, workTime, result[:len(result)/2])
	case neverRespond:
	case duplicateResult:
		e.respond(exchange, responseServed, workTime, result)
		time.Sleep(duplicateDelay)
		exchange.Send(result)
	case respondNormally, rejectAtOnce: // a rejection was sent above
		e.respond(exchange, responseServed, workTime, result)
	}
}

// handleRepeated responds to a request of a repeater.
func handleRepeated(ctx context.Context, exchange *fake.LineExchange) {
	select {
	case <-ctx.Done():
		return
	case <-time.After(repeatWorkTime):
	}
	if exchange.Finish(func() {}) {
		exchange.Send(fake.LineMessage(exchange.Request.ID, fake.MessageResult, "batches=1,cpu=1,used=1", repeatRow))
	}
}

// resultMessage returns the first page of a result with the request's cost and the engine's load report.
func resultMessage(requestID string, workTime time.Duration) string {
	milliseconds := float64(workTime) / float64(time.Millisecond)
	fields := []string{
		fmt.Sprintf("batches=%d", pageCount(requestID)), fmt.Sprintf("cpu=%.1f", milliseconds),
		"used=4", "gauges=cpu:0.3;waiting:0;x1:0;x0:0",
	}
	return fake.LineMessage(requestID, fake.MessageResult, strings.Join(fields, ","), resultPage(requestID, "0"))
}

// respond reports the end of an attempt and then sends the response. If the attempt was cancelled, respond does
// neither.
func (e *engineProcess) respond(
	exchange *fake.LineExchange, kind responseKind, workTime time.Duration, message string,
) {
	ended := exchange.Finish(func() {
		e.report(engineEvent{
			Kind: eventAttemptEnded, RequestID: exchange.Request.ID, Response: kind, WorkTime: workTime,
		})
	})
	if ended {
		exchange.Send(message)
	}
}
