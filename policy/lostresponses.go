package policy

import (
	"slices"
	"time"
)

const stalledAfterLost = 2 // consecutive lost responses after which a class is stalled on an engine

// lostResponses finds the classes that are stalled on one engine: their responses are lost while responses
// of other classes arrive.
type lostResponses struct {
	consecutive  map[*class]int           // responses lost since the latest report or served response
	stalledUntil map[*class]time.Duration // no request of the class is sent until then
}

func newLostResponses() lostResponses {
	return lostResponses{consecutive: map[*class]int{}, stalledUntil: map[*class]time.Duration{}}
}

// add counts a lost response of a class. If at least stalledAfterLost responses in a row were lost, the
// engine gets no request of the class until the instant stalledUntil.
func (l *lostResponses) add(c *class, stalledUntil time.Duration) {
	l.consecutive[c]++
	if l.consecutive[c] >= stalledAfterLost {
		l.stalledUntil[c] = stalledUntil
	}
}

// reset clears the count of a class after a progress report or served response of one of its attempts.
func (l *lostResponses) reset(c *class) { delete(l.consecutive, c) }

// classStalled reports whether a class is stalled on the engine. After stalledUntil, one request of the class
// at a time may be sent there, to find out whether the class is still stalled.
func (e *engine) classStalled(c *class, now time.Duration) bool {
	if e.lostResponses.consecutive[c] < stalledAfterLost {
		return false
	}
	until := e.lostResponses.stalledUntil[c]
	return now < until || slices.ContainsFunc(e.inFlight, func(a *attempt) bool {
		return a.request.class == c && a.sentAt >= until
	})
}
