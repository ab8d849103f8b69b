package eventloop

import "time"

// maxIdleBuffer is the capacity, in bytes, up to which an empty buffer keeps its memory.
const maxIdleBuffer = 16 << 10

// Buffer holds the bytes of a connection that were received and not yet consumed. It grows as needed and is compacted
// in place, so that a connection needs no second buffer. It is not safe for concurrent use.
type Buffer struct {
	data     []byte
	consumed int // bytes at the start of data that have been consumed
	arrivals arrivalLog
}

// Bytes returns the bytes that have not been consumed. The slice is valid until the buffer changes.
func (b *Buffer) Bytes() []byte { return b.data[b.consumed:] }

// Len returns the number of bytes not consumed.
func (b *Buffer) Len() int { return len(b.data) - b.consumed }

// Consume drops the first n bytes.
func (b *Buffer) Consume(n int) {
	b.consumed += n
	if b.consumed >= len(b.data) {
		b.clear()
	}
	b.arrivals.forget(b.position())
}

// ArrivedAt returns when the n-th byte that has not been consumed arrived, by the clock of Loop.Now. The result is the
// time of the read. If the byte may have waited in the kernel, the result is about the time at which the kernel
// received it. Bytes that are read later do not change the result. n is at least 1 and at most Len.
func (b *Buffer) ArrivedAt(n int) time.Duration {
	return b.arrivals.timeOf(b.position() + int64(n))
}

// position returns how many bytes of the connection have been consumed.
func (b *Buffer) position() int64 { return b.arrivals.received - int64(b.Len()) }

// append adds bytes that arrived at the given time. If the memory is too small, it first moves the unconsumed bytes
// to the front.
func (b *Buffer) append(received []byte, at time.Duration) {
	if b.consumed > 0 && len(b.data)+len(received) > cap(b.data) {
		rest := copy(b.data, b.Bytes())
		b.data = b.data[:rest]
		b.consumed = 0
	}
	b.data = append(b.data, received...)
	b.arrivals.record(len(received), at)
}

// clear empties the buffer. It releases the memory if the capacity exceeds maxIdleBuffer, so that a connection does not
// keep the memory of one large message until it ends.
func (b *Buffer) clear() {
	b.consumed = 0
	b.data = b.data[:0]
	if cap(b.data) > maxIdleBuffer {
		b.data = nil
	}
}
