package eventloop

import (
	"bytes"
	"testing"
	"time"

	"flaxrelay/internal/growthtest"
)

// Bytes that are appended and consumed in turn come out in order, and an empty buffer releases the memory of a large
// message.
func TestBuffer_KeepsOrderAndReleasesLargeMemory(t *testing.T) {
	var b Buffer
	b.append([]byte("first, second"), 0)
	b.Consume(len("first, "))
	b.append([]byte(", third"), 0)
	if got := string(b.Bytes()); got != "second, third" || b.Len() != len(got) {
		t.Errorf("the buffer holds %q and has a length of %d", got, b.Len())
	}
	b.append(bytes.Repeat([]byte("x"), maxIdleBuffer), 0)
	b.Consume(b.Len())
	if b.Len() != 0 || b.data != nil {
		t.Errorf("length %d and capacity %d once all bytes are consumed", b.Len(), cap(b.data))
	}
}

// The arrival time of a byte does not change when other bytes are read or consumed.
func TestBuffer_KeepsTheArrivalTimeOfEachByte(t *testing.T) {
	var b Buffer
	b.append([]byte("first"), time.Second)
	b.append([]byte("second"), 2*time.Second)
	b.append([]byte("!"), 2*time.Second+arrivalPrecision/2) // recorded with the previous read as one arrival
	b.append([]byte("third"), 3*time.Second)
	for n, want := range map[int]time.Duration{
		1:  time.Second,
		5:  time.Second,
		6:  2 * time.Second,
		12: 2 * time.Second,
		13: 3 * time.Second,
	} {
		if got := b.ArrivedAt(n); got != want {
			t.Errorf("byte %d arrived at %v, want %v", n, got, want)
		}
	}
	b.Consume(len("first") + 1)
	if got := b.ArrivedAt(1); got != 2*time.Second {
		t.Errorf("the first unconsumed byte arrived at %v", got)
	}
	recorded := len(b.arrivals.arrivals)
	if got := b.ArrivedAt(b.Len()); got != 3*time.Second || recorded != 2 {
		t.Errorf("the last byte arrived at %v; %d arrivals are recorded", got, recorded)
	}
	b.Consume(b.Len())
	if recorded := len(b.arrivals.arrivals); recorded != 0 {
		t.Errorf("%d arrivals are recorded for an empty buffer", recorded)
	}
}

// Guards against a client that sends its pipelined requests slowly: each request that was consumed moved the arrival
// times of all bytes after it.
func TestBuffer_ConsumingSlowBytesTakesLinearTime(t *testing.T) {
	const reads = 4000
	growthtest.CheckLinear(t, reads, func(reads int) func() {
		var b Buffer
		for n := range reads {
			b.append([]byte("x"), time.Duration(n)*arrivalPrecision)
		}
		return func() {
			for b.Len() > 0 {
				b.ArrivedAt(1)
				b.Consume(1)
			}
		}
	})
}
