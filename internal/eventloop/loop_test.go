package eventloop

import (
	"slices"
	"testing"
	"time"

	"flaxrelay/internal/eventloop/eventlooptest"
)

// Run ends at once if the last timer calls Stop: nothing else would end its wait.
func TestStop_ByTheLastTimerEndsRun(t *testing.T) {
	l, ended := startLoop(t)
	eventlooptest.Do(l, func() { l.Timers.Schedule(l.Now()+20*time.Millisecond, l.Stop) })
	await(t, ended, "the end of Run")
}

// Posted functions run in the order of their posts. Functions that they post run on the next turn, after the timers of
// the current turn.
func TestPost_RunsInOrderAndLetsTimersRunBetweenTurns(t *testing.T) {
	l, _ := startLoop(t)
	var got []string
	done := make(chan struct{})
	record := func(name string) func() { return func() { got = append(got, name) } }
	eventlooptest.Do(l, func() {
		l.Post(func() {
			l.Timers.Schedule(l.Now(), record("timer"))
			l.Post(record("third"))
			l.Post(func() { close(done) })
			got = append(got, "first")
		})
		l.Post(record("second"))
	})
	await(t, done, "the posted functions")
	if want := []string{"first", "second", "timer", "third"}; !slices.Equal(got, want) {
		t.Errorf("ran %q, want %q", got, want)
	}
}

// Run closes the connections before it returns.
func TestRun_ClosesConnectionsAtItsEnd(t *testing.T) {
	l, _, peer := connectedPair(t)
	eventlooptest.Do(l, l.Stop)
	checkPeerReads(t, peer, "")
}
