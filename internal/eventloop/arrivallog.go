package eventloop

import "time"

// arrivalPrecision is the time within which several reads are recorded as one arrival. This limits the memory for peers
// that send byte by byte.
const arrivalPrecision = 10 * time.Millisecond

// arrivalLog records when the bytes of a connection arrived. Positions count the bytes since the connection began.
// It is not safe for concurrent use.
type arrivalLog struct {
	received int64     // bytes read so far
	arrivals []arrival // in order of time; an arrival is dropped once all its bytes are forgotten
}

// arrival is one read, or several within arrivalPrecision.
type arrival struct {
	end int64         // position of the last byte
	at  time.Duration // arrival time of the first of these reads, by the clock of Loop.Now
}

// record records that n bytes arrived at the given time.
func (l *arrivalLog) record(n int, at time.Duration) {
	l.received += int64(n)
	if last := len(l.arrivals) - 1; last >= 0 && at-l.arrivals[last].at < arrivalPrecision {
		l.arrivals[last].end = l.received
		return
	}
	l.arrivals = append(l.arrivals, arrival{end: l.received, at: at})
}

// timeOf returns when the byte at the position arrived. The byte must not have been forgotten.
func (l *arrivalLog) timeOf(position int64) time.Duration {
	for _, a := range l.arrivals {
		if position <= a.end {
			return a.at
		}
	}
	return 0
}

// forget drops the arrivals of the bytes up to the position.
func (l *arrivalLog) forget(position int64) {
	forgotten := 0
	for forgotten < len(l.arrivals) && l.arrivals[forgotten].end <= position {
		forgotten++
	}
	if forgotten == len(l.arrivals) {
		l.arrivals = l.arrivals[:0]
		return
	}
	l.arrivals = l.arrivals[forgotten:] // moving the rest would cost as much as the rest is long, for each request
}
