package policy

import (
	"slices"
	"time"
)

const stalledAfterLost = 2 // responses of a class lost in a row after which it is stalled on an engine

// lostResponses finds classes that are stalled on an engine: their responses are lost while those of
// other classes arrive.
type lostResponses struct {
	consecutive  map[*class]int           // responses lost since the class was last reported or served
	stalledUntil map[*class]time.Duration // nothing of the class is sent until then
}

func newLostResponses() lostResponses {
	return lostResponses{consecutive: map[*class]int{}, stalledUntil: map[*class]time.Duration{}}
}

// add counts a lost response. Once stalledAfterLost of a class are lost in a row, the class is stalled until
// the given instant.
func (l *lostResponses) add(c *class, stalledUntil time.Duration) {
	l.consecutive[c]++
	if l.consecutive[c] >= stalledAfterLost {
		l.stalledUntil[c] = stalledUntil
	}
}

// reset starts the count anew: an attempt of the class was reported or served.
func (l *lostResponses) reset(c *class) { delete(l.consecutive, c) }

// classStalled reports whether a class is stalled on the engine. After stalledUntil one
// request at a time may go there, to find out whether it still is.
func (e *engine) classStalled(c *class, now time.Duration) bool {
	if e.lostResponses.consecutive[c] < stalledAfterLost {
		return false
	}
	until := e.lostResponses.stalledUntil[c]
	return now < until || slices.ContainsFunc(e.inFlight, func(a *attempt) bool {
		return a.request.class == c && a.sentAt >= until
	})
}
