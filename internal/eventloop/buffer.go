package eventloop

import "time"

// maxIdleBuffer is the capacity, in bytes, up to which an empty buffer keeps its memory.
const maxIdleBuffer = 16 << 10

// Buffer holds what was received and not yet consumed. It grows as needed and is
// compacted in place, so that a connection needs no second one. It is not safe for
// concurrent use.
type Buffer struct {
	data     []byte
	consumed int       // bytes at the start of data that have been consumed
	received int64     // bytes read so far
	arrivals []arrival // of the bytes that have not been consumed, in their order
}

// Bytes returns what has not been consumed. It is valid until the next call.
func (b *Buffer) Bytes() []byte { return b.data[b.consumed:] }

// Len returns the number of bytes not consumed.
func (b *Buffer) Len() int { return len(b.data) - b.consumed }

// Consume drops the first n bytes.
func (b *Buffer) Consume(n int) {
	b.consumed += n
	defer b.forgetArrivals()
	if b.consumed < len(b.data) {
		return
	}
	b.data, b.consumed = b.data[:0], 0
	if cap(b.data) > maxIdleBuffer { // one large message must not keep its memory forever
		b.data = nil
	}
}

// append adds bytes that were read at the given time. It moves the rest to the front of the memory where that
// may save an allocation.
func (b *Buffer) append(received []byte, at time.Duration) {
	if b.consumed > 0 && len(b.data)+len(received) > cap(b.data) {
		rest := copy(b.data, b.data[b.consumed:])
		b.data, b.consumed = b.data[:rest], 0
	}
	b.data = append(b.data, received...)
	b.noteArrival(len(received), at)
}
