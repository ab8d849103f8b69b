package hotrestart

import "time"

// Effect classifies requests by whether they may be retried, as policy.Effect does.
type Effect uint8

// Effects. The zero value is the most cautious.
const (
	NonIdempotent Effect = iota
	IdempotentByKey
	Idempotent
)

// Request is the successor's record of a request. The successor sends the record before it forwards
// the request to an engine, and again before it writes the response.
type Request struct {
	InFlight          bool
	Effect            Effect
	Forwarded         bool          // to an engine: it may have been executed
	FirstForwardedAt  time.Duration // when either process first forwarded it, on their common clock
	IdempotencyWindow time.Duration // how long engines drop duplicates of a key; for IdempotentByKey
	Deadline          time.Duration // the client's deadline
	ResponseBytes     int           // length of the response that is being written; 0: none yet
}

// Recovery is what happens to a request whose process has exited.
type Recovery uint8

// Recoveries.
const (
	NoRecovery             Recovery = iota // there is no request, or its response was written completely
	Retry                                  // forward it, with its key and the time of its first attempt if it has them
	ReportUnknownOutcome                   // respond at once that the request may have run; a retry is not permitted
	ReportDeadlineExceeded                 // its deadline has passed
	CloseConnection                        // its response was written in part, so no other response is possible
)

// windowMargin limits retries: a retry is forwarded only if more than windowMargin of the idempotency window
// remains, because the request must reach its engine within the window.
const windowMargin = 50 * time.Millisecond

// Recover decides what happens to a request of a process that has exited. written is the number of bytes of
// the response that were written to this connection since the record with ResponseBytes. The kernel
// reports this number for a socket, regardless of which process wrote the bytes (tcp(7), TCP_INFO).
func Recover(r Request, written int, now time.Duration) Recovery {
	switch {
	case !r.InFlight:
		return NoRecovery
	case r.ResponseBytes > 0 && written >= r.ResponseBytes:
		return NoRecovery
	case written > 0:
		return CloseConnection
	case now >= r.Deadline:
		return ReportDeadlineExceeded
	case !r.Forwarded || r.Effect == Idempotent:
		return Retry
	case r.Effect == IdempotentByKey && now < r.FirstForwardedAt+r.IdempotencyWindow-windowMargin:
		return Retry
	}
	return ReportUnknownOutcome
}
