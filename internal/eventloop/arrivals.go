package eventloop

import "time"

// arrivalPrecision is how far apart two reads may be that count as one. It bounds the memory
// for peers that send byte by byte.
const arrivalPrecision = 10 * time.Millisecond

// arrival is one read, or several in close succession.
type arrival struct {
	end int64         // bytes of the connection that had been read by then
	at  time.Duration // of the first of these reads, as of Loop.Now
}

// ArrivedAt returns when the n-th byte that has not been consumed was read, as of Loop.Now.
// Bytes that came later don't change it. n is at least 1 and at most Len.
func (b *Buffer) ArrivedAt(n int) time.Duration {
	position := b.received - int64(b.Len()) + int64(n)
	for _, a := range b.arrivals {
		if position <= a.end {
			return a.at
		}
	}
	return 0
}

// noteArrival records that n bytes were read.
func (b *Buffer) noteArrival(n int, at time.Duration) {
	b.received += int64(n)
	if last := len(b.arrivals) - 1; last >= 0 && at-b.arrivals[last].at < arrivalPrecision {
		b.arrivals[last].end = b.received
		return
	}
	b.arrivals = append(b.arrivals, arrival{end: b.received, at: at})
}

// forgetArrivals drops the arrivals of bytes that have been consumed.
func (b *Buffer) forgetArrivals() {
	consumed := b.received - int64(b.Len())
	forgotten := 0
	for forgotten < len(b.arrivals) && b.arrivals[forgotten].end <= consumed {
		forgotten++
	}
	b.arrivals = append(b.arrivals[:0], b.arrivals[forgotten:]...)
}
