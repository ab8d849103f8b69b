// Package eventlooptest lets tests run an event loop and call functions on its goroutine. Only tests and their helper
// packages import it.
package eventlooptest

import "testing"

// Loop is an eventloop.Loop. It is an interface so that the tests of package eventloop can import this package.
type Loop interface {
	Run()
	Post(f func())
	Stop()
}

// Run runs the loop on a new goroutine. At the end of the test, it stops the loop and waits until the loop's Run has
// returned. The returned channel is closed when the loop's Run returns.
func Run(tb testing.TB, loop Loop) (ended <-chan struct{}) {
	tb.Helper()
	done := make(chan struct{})
	go func() {
		loop.Run()
		close(done)
	}()
	tb.Cleanup(func() {
		loop.Post(loop.Stop)
		<-done
	})
	return done
}

// Do calls f on the loop's goroutine and waits until f has returned. It must not be called on that goroutine.
func Do(loop Loop, f func()) {
	done := make(chan struct{})
	loop.Post(func() {
		f()
		close(done)
	})
	<-done
}
