package lifecycle

import "flaxrelay/policy"

// AttemptStatus is how an attempt, or a connection to an engine, ended.
type AttemptStatus uint8

// All statuses. The zero value is the most cautious: the attempt may have run.
const (
	StatusUnknown           AttemptStatus = iota
	StatusServed                          // the complete result has arrived
	StatusStatementRejected               // the engine found an error in the statement, which had no effect
	StatusResultTooLarge                  // the attempt ran, but its result exceeds what this program may buffer
	StatusEngineError                     // the engine responded with an error
	StatusOverloaded                      // the engine shed the attempt without processing it
	StatusDeadlinePassed                  // the deadline passed before the engine ran the attempt
	StatusPagesLost                       // the attempt ran, but some pages of its result are no longer available
	StatusTimeout                         // no response within the attempt's timeout
	StatusConnectionRefused               // the engine refused the connection
	StatusConnectTimeout                  // no connection was established in time
	StatusNoDescriptor                    // no file descriptor was free for a connection
	StatusLocalFailure                    // a connection failed for a reason on this machine
	StatusUnknownEngine                   // the endpoint list has no address for the engine
	StatusConnectionReset                 // the connection broke
	StatusProtocolError                   // the engine's response was malformed
	StatusCancelled                       // cancelled by this program
	StatusNotSent                         // ended before any part of its request was written
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

// Result translates the status for the balancer. No other code decides which statuses prove that an engine did
// not run the attempt. An undefined status counts as StatusUnknown: the attempt may have run.
func (s AttemptStatus) Result() policy.Result {
	switch s {
	case StatusServed, StatusResultTooLarge: // the engine ran the attempt
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
	case StatusNoDescriptor, StatusLocalFailure: // the failure is on this machine, not at the engine
		return policy.ResultNotSent
	case StatusUnknown, StatusIdleClosed, statusCount:
		return policy.ResultUnknown
	}
	return policy.ResultUnknown
}
