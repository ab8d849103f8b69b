// Package discoverytest holds the helpers that the tests of the endpoint list's sources
// share. Only tests import it.
package discoverytest

import (
	"testing"
	"time"

	"flaxrelay/policy"
)

// Patience bounds a wait for something that is expected to happen.
const Patience = 10 * time.Second

// StateNames words the states of engines, as golden files do.
var StateNames = map[policy.EngineState]string{
	policy.EngineReady:    "ready",
	policy.EngineDraining: "draining",
	policy.EngineRemoved:  "gone",
}

// Must ends the test where there is an error.
func Must(t *testing.T, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

// Receive returns the channel's next value, and ends the test where none comes.
func Receive[T any](t *testing.T, c <-chan T, what string) T {
	t.Helper()
	select {
	case v := <-c:
		return v
	case <-time.After(Patience):
		t.Fatalf("%s: nothing came", what)
		panic("unreachable")
	}
}
