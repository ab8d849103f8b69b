package eventloop

import (
	"bytes"
	"testing"
	"time"
)

// What is consumed and appended in turn comes out in order, and an empty buffer gives a
// large message's memory back.
func TestBuffer(t *testing.T) {
	var b Buffer
	b.append([]byte("first, second"), 0)
	b.Consume(len("first, "))
	b.append([]byte(", third"), 0)
	if got := string(b.Bytes()); got != "second, third" || b.Len() != len(got) {
		t.Errorf("%q of %d bytes", got, b.Len())
	}
	b.append(bytes.Repeat([]byte("x"), maxIdleBuffer), 0)
	b.Consume(b.Len())
	if b.Len() != 0 || b.data != nil {
		t.Errorf("%d bytes in memory of %d once all is consumed", b.Len(), cap(b.data))
	}
}

// A byte keeps the time at which it was read, whatever is read or consumed later.
func TestBufferArrivedAt(t *testing.T) {
	var b Buffer
	b.append([]byte("first"), time.Second)
	b.append([]byte("second"), 2*time.Second)
	b.append([]byte("!"), 2*time.Second+arrivalPrecision/2) // counts as one read with the one before
	b.append([]byte("third"), 3*time.Second)
	for n, want := range map[int]time.Duration{1: time.Second, 5: time.Second, 6: 2 * time.Second, 12: 2 * time.Second, 13: 3 * time.Second} {
		if got := b.ArrivedAt(n); got != want {
			t.Errorf("byte %d arrived at %v, want %v", n, got, want)
		}
	}
	b.Consume(len("first") + 1)
	if got := b.ArrivedAt(1); got != 2*time.Second {
		t.Errorf("the first byte left arrived at %v", got)
	}
	if b.ArrivedAt(b.Len()) != 3*time.Second || len(b.arrivals.arrivals) != 2 {
		t.Errorf("the last byte arrived at %v; %d arrivals are kept", b.ArrivedAt(b.Len()), len(b.arrivals.arrivals))
	}
	b.Consume(b.Len())
	if len(b.arrivals.arrivals) != 0 {
		t.Errorf("%d arrivals are kept of an empty buffer", len(b.arrivals.arrivals))
	}
}
