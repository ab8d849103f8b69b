// Package eventlooptest lets tests run an event loop and call functions on its goroutine.
// Only tests and the packages that support them import it.
package eventlooptest

import "testing"

// Loop is an event loop, an eventloop.Loop. It is an interface so that the tests within
// package eventloop can import this package.
type Loop interface {
	Run()
	Post(f func())
	Stop()
}

// Run runs the loop on a goroutine until the end of the test, and waits for it there. The
// channel is closed when the loop's Run returns.
func Run(t testing.TB, loop Loop) (ended <-chan struct{}) {
	t.Helper()
	done := make(chan struct{})
	go func() {
		loop.Run()
		close(done)
	}()
	t.Cleanup(func() {
		loop.Post(loop.Stop)
		<-done
	})
	return done
}

// Do calls f on the loop's goroutine, which does nothing else meanwhile, and waits for it.
func Do(loop Loop, f func()) {
	done := make(chan struct{})
	loop.Post(func() {
		f()
		close(done)
	})
	<-done
}
