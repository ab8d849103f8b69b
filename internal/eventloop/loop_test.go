package eventloop

import (
	"testing"
	"time"
)

// A Stop by the last timer ends Run at once: nothing else would end its wait.
func TestStopByTheLastTimer(t *testing.T) {
	l, ended := startLoop(t)
	do(l, func() { l.Timers.Schedule(l.Now()+20*time.Millisecond, l.Stop) })
	awaitEnd(t, ended, "Run")
}
