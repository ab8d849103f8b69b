// Package discoverytest contains helpers for the tests of the sources of the endpoint list. Only
// tests import it.
package discoverytest

import (
	"testing"
	"time"

	"flaxrelay/policy"
)

// Timeout limits how long a test waits for an expected event.
const Timeout = 10 * time.Second

// StateNames are the names of engine states in golden files.
var StateNames = map[policy.EngineState]string{
	policy.EngineReady:    "ready",
	policy.EngineDraining: "draining",
	policy.EngineRemoved:  "gone",
}

// Must fails the test immediately if there is an error.
func Must(t *testing.T, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

// Receive returns the next value from a channel, and fails the test immediately if no value arrives
// within Timeout.
func Receive[T any](t *testing.T, values <-chan T, description string) T {
	t.Helper()
	select {
	case value := <-values:
		return value
	case <-time.After(Timeout):
		t.Fatalf("%s: not received within %v", description, Timeout)
		panic("unreachable")
	}
}
