package eventloop

import (
	"testing"
	"time"

	"flaxrelay/internal/eventloop/eventlooptest"
)

// A Stop by the last timer ends Run at once: nothing else would end its wait.
func TestStopByTheLastTimer(t *testing.T) {
	l, ended := startLoop(t)
	eventlooptest.Do(l, func() { l.Timers.Schedule(l.Now()+20*time.Millisecond, l.Stop) })
	awaitEnd(t, ended, "Run")
}
