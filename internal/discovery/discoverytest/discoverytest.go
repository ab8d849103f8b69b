// Package discoverytest contains helpers for the tests of the sources of the endpoint list. Only
// tests import it.
package discoverytest

import (
	"testing"
	"time"

	"flaxrelay/policy"
)

// Timeout limits each wait of a test for an event that must come.
const Timeout = 10 * time.Second

// StateNames are the names of the states of engines in golden files.
var StateNames = map[policy.EngineState]string{
	policy.EngineReady:    "ready",
	policy.EngineDraining: "draining",
	policy.EngineRemoved:  "gone",
}

// Must ends the test if there is an error.
func Must(t *testing.T, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

// Receive returns the next value of a channel, and ends the test if none comes in time.
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
