package policy

import (
	"slices"
	"time"
)

const stalledAfterLost = 2 // responses of a class lost in a row after which it is stalled on an engine

// lostResponses finds classes that are stalled on an engine: their responses are lost while those of
// other classes arrive.
type lostResponses struct {
	inARow       map[*class]int           // lost with no report of the class between
	stalledUntil map[*class]time.Duration // nothing of the class is sent until then
}

func newLostResponses() lostResponses {
	return lostResponses{inARow: map[*class]int{}, stalledUntil: map[*class]time.Duration{}}
}

// add counts a lost response. From the second in a row on, the class is stalled until the given instant.
func (l *lostResponses) add(c *class, stalledUntil time.Duration) {
	l.inARow[c]++
	if l.inARow[c] >= stalledAfterLost {
		l.stalledUntil[c] = stalledUntil
	}
}

// reset ends the row: an attempt of the class was reported or served.
func (l *lostResponses) reset(c *class) { delete(l.inARow, c) }

// classStalled reports whether a class is stalled on the engine. After stalledUntil one
// request at a time may go there, to find out whether it still is.
func (e *engine) classStalled(c *class, now time.Duration) bool {
	if e.lostResponses.inARow[c] < stalledAfterLost {
		return false
	}
	until := e.lostResponses.stalledUntil[c]
	return now < until || slices.ContainsFunc(e.inFlight, func(a *attempt) bool {
		return a.request.class == c && a.sentAt >= until
	})
}
