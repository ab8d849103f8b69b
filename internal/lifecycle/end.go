package lifecycle

import "flaxrelay/policy"

// End is how a connection or an attempt ended: every way there is.
type AttemptStatus uint8

// Ends. The zero value is the most cautious: the attempt may have run.
const (
	StatusUnknown           AttemptStatus = iota
	StatusServed                          // the whole answer is here
	StatusStatementRejected               // the engine found the statement itself at fault; it had no effect
	StatusResultTooLarge                  // it ran, but its answer is larger than can be held here
	StatusEngineError                     // the engine answered with an error
	StatusOverloaded                      // the engine turned it away unseen
	StatusDeadlinePassed                  // the engine found its time over before it ran
	StatusPagesLost                       // it ran, but some of its pages can't be had any more
	StatusTimeout                         // no answer within the attempt's time
	StatusConnectionRefused               // the engine refused the connection
	StatusConnectTimeout                  // no connection in time
	StatusNoDescriptor                    // no descriptor was free for a connection
	StatusUnknownEngine                   // the roster has no address for the engine
	StatusConnectionReset                 // the connection broke
	StatusProtocolError                   // what came on the connection can't be read
	StatusCancelled                       // given up from this side
	StatusNotSent                         // ended before any of it was written
	StatusIdleClosed                      // a connection that nothing was open on
	endCount
)

var endNames = [endCount]string{
	"unknown", "served", "statement-rejected", "result-too-large", "engine-error", "overloaded", "deadline-passed",
	"pages-lost", "timeout", "connection-refused", "connect-timeout", "no-descriptor", "unknown-engine",
	"connection-reset", "protocol-error", "cancelled", "not-sent", "idle-closed",
}

func (e AttemptStatus) String() string {
	if e < endCount {
		return endNames[e]
	}
	return endNames[StatusUnknown]
}

// Result is what an end means to the decisions, and the only place that says so.
// What proves that nothing ran is named; all else may have run.
func (e AttemptStatus) Result() policy.Result {
	switch e {
	case StatusServed, StatusResultTooLarge: // the engine did its part
		return policy.ResultServed
	case StatusEngineError, StatusPagesLost:
		return policy.ResultFailed
	case StatusOverloaded:
		return policy.ResultOverloaded
	case StatusTimeout:
		return policy.ResultTimedOut
	case StatusConnectionRefused, StatusConnectTimeout, StatusUnknownEngine:
		return policy.ResultConnectFailed
	case StatusConnectionReset:
		return policy.ResultConnectionLost
	case StatusProtocolError: // any engine's answer may be spoilt on its way; it says nothing of its health
		return policy.ResultUnknown
	case StatusCancelled:
		return policy.ResultCancelled
	case StatusDeadlinePassed, StatusNotSent, StatusStatementRejected, StatusNoDescriptor: // the last is no fault of the engine's
		return policy.ResultNotSent
	}
	return policy.ResultUnknown
}
