package policy

import "time"

// attemptPhase is the phase of an attempt. An attempt never returns to an earlier phase:
//
//	attemptWaiting:    StreamStarted -> attemptStreaming
//	attemptWaiting:    AttemptEnded -> attemptEnded
//	attemptStreaming:  AttemptEnded -> attemptEnded
type attemptPhase uint8

const (
	attemptWaiting   attemptPhase = iota // in flight, and its response has not begun
	attemptStreaming                     // in flight, and its response is being streamed
	attemptEnded
)

// attempt is one execution of a request on an engine.
type attempt struct {
	request         *request
	index           int // number among the request's attempts, counted from 0
	engine          *engine
	sentAt          time.Duration
	lastHeardAt     time.Duration // latest progress report; sentAt before the first report
	grantedMB       float64
	phase           attemptPhase
	result          Result       // set when the attempt ends
	lastProgress    ProgressKind // kind of the latest progress report; 0 before the first report
	cancelRequested bool
	spilled         bool // the attempt has reported a lack of memory
	responseLost    bool // the attempt's response is considered lost
}

// newAttempt returns the request's next attempt. It does not add the attempt to the request; fleet.reserve
// does.
func newAttempt(req *request, e *engine, now time.Duration) *attempt {
	return &attempt{request: req, index: len(req.attempts), engine: e, sentAt: now, lastHeardAt: now}
}

func (a *attempt) ended() bool { return a.phase == attemptEnded }

// mayHaveRun reports whether the engine may have run the attempt. An attempt in flight always counts as one
// that may have run.
func (a *attempt) mayHaveRun() bool { return !a.ended() || a.result.MayHaveRun() }

// endedInError reports whether the engine responded with an error.
func (a *attempt) endedInError() bool { return a.ended() && a.result == ResultFailed }

// blocked reports whether, by its latest progress report, the attempt waits for memory or a bulk load.
func (a *attempt) blocked() bool {
	return a.lastProgress == ProgressAwaitingMemory || a.lastProgress == ProgressAwaitingLoad
}
