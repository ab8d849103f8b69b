package lifecycle

import "flaxrelay/policy"

// AttemptStatus is how an attempt, or a connection to an engine, ended.
type AttemptStatus uint8

// All statuses. The zero value is the most cautious: the attempt may have run.
const (
	StatusUnknown           AttemptStatus = iota
	StatusServed                          // the complete result has arrived
	StatusStatementRejected               // the engine found the statement itself at fault; it had no effect
	StatusResultTooLarge                  // it ran, but its result exceeds what may be buffered here
	StatusEngineError                     // the engine responded with an error
	StatusOverloaded                      // the engine shed it before looking at it
	StatusDeadlinePassed                  // the engine found its deadline passed before it ran
	StatusPagesLost                       // it ran, but some pages of its result are no longer available
	StatusTimeout                         // no response within the attempt's timeout
	StatusConnectionRefused               // the engine refused the connection
	StatusConnectTimeout                  // no connection in time
	StatusNoDescriptor                    // no file descriptor was free for a connection
	StatusLocalFailure                    // a connection failed on this machine
	StatusUnknownEngine                   // the endpoint list has no address of the engine
	StatusConnectionReset                 // the connection broke
	StatusProtocolError                   // the engine's response was malformed
	StatusCancelled                       // cancelled from this side
	StatusNotSent                         // ended before any of it was written
	StatusIdleClosed                      // a connection with no attempt in flight was closed
	statusCount
)

var statusNames = [statusCount]string{
	StatusUnknown:           "unknown",
	StatusServed:            "served",
	StatusStatementRejected: "statement-rejected",
	StatusResultTooLarge:    "result-too-large",
	StatusEngineError:       "engine-error",
	StatusOverloaded:        "overloaded",
	StatusDeadlinePassed:    "deadline-passed",
	StatusPagesLost:         "pages-lost",
	StatusTimeout:           "timeout",
	StatusConnectionRefused: "connection-refused",
	StatusConnectTimeout:    "connect-timeout",
	StatusNoDescriptor:      "no-descriptor",
	StatusLocalFailure:      "local-failure",
	StatusUnknownEngine:     "unknown-engine",
	StatusConnectionReset:   "connection-reset",
	StatusProtocolError:     "protocol-error",
	StatusCancelled:         "cancelled",
	StatusNotSent:           "not-sent",
	StatusIdleClosed:        "idle-closed",
}

// String returns the name of the status in counters and log events.
func (s AttemptStatus) String() string {
	if s < statusCount {
		return statusNames[s]
	}
	return statusNames[StatusUnknown]
}

// Result translates the status for the balancer. It is the only place that decides what an end proves. An
// undefined status counts as one that may have run.
func (s AttemptStatus) Result() policy.Result {
	switch s {
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
	case StatusProtocolError: // the network may have damaged a healthy engine's response
		return policy.ResultUnknown
	case StatusCancelled:
		return policy.ResultCancelled
	case StatusDeadlinePassed, StatusStatementRejected: // sent, but without effect
		return policy.ResultNotSent
	case StatusNotSent:
		return policy.ResultNotSent
	case StatusNoDescriptor, StatusLocalFailure: // the fault is on this side, not the engine's
		return policy.ResultNotSent
	case StatusUnknown, StatusIdleClosed, statusCount:
		return policy.ResultUnknown
	}
	return policy.ResultUnknown
}
