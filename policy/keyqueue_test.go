package policy

import (
	"testing"
	"time"
)

func TestKeyQueues_KeepOrderPerKey(t *testing.T) {
	ordered := &class{Class: Class{Ordered: true}}
	unordered := &class{}
	first := &request{class: ordered, orderKey: "x"}
	second := &request{class: ordered, orderKey: "x"}
	other := &request{class: ordered, orderKey: "y"}
	queues := keyQueues{}
	for _, req := range []*request{first, second, other} {
		queues.enqueue(req)
	}
	if !queues.of(first).isHead(first) || queues.of(second).isHead(second) || !queues.of(other).isHead(other) {
		t.Fatal("the heads are not the oldest requests of their keys")
	}
	queues.dequeue(first, 0)
	if !queues.of(second).isHead(second) {
		t.Error("the second request is not the head after the first was removed")
	}
	for _, req := range []*request{{class: ordered}, {class: unordered, orderKey: "x"}} {
		queues.enqueue(req)
		if queues.of(req) != nil {
			t.Errorf("there is a queue for a request without an ordering key: %+v", req)
		}
	}
	if len(queues) != 2 {
		t.Errorf("%d queues, want 2", len(queues))
	}
}

func TestKeyQueues_DropAQueueOnceEmptyAndUnblocked(t *testing.T) {
	req := &request{class: &class{Class: Class{Ordered: true}}, orderKey: "x"}
	for now, want := range map[time.Duration]int{9 * msec: 1, 10 * msec: 0} {
		queues := keyQueues{}
		queues.enqueue(req)
		queues.of(req).blockUntil(10 * msec)
		queues.of(req).blockUntil(msec) // an earlier instant changes nothing
		queues.dequeue(req, now)
		if len(queues) != want {
			t.Errorf("at %v: %d queues, want %d", now, len(queues), want)
		}
	}
}
