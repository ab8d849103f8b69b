package netio

import (
	"testing"
	"time"
)

const patience = 10 * time.Second

// do runs f on the loop's goroutine, which does nothing else meanwhile.
func do(l *Loop, f func()) {
	done := make(chan struct{})
	l.Post(func() { f(); close(done) })
	<-done
}

// Stop by the last timer ends Run at once: nothing else would end its wait.
func TestStopByTheLastTimer(t *testing.T) {
	l, err := New(64)
	if err != nil {
		t.Fatal(err)
	}
	ended := make(chan struct{})
	go func() { l.Run(); close(ended) }()
	do(l, func() { l.Timers.Add(l.Now()+20*time.Millisecond, l.Stop) })
	select {
	case <-ended:
	case <-time.After(patience):
		t.Fatal("Run goes on")
	}
}
