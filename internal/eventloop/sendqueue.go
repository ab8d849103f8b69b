package eventloop

// sendQueue holds the bytes that wait to be sent on one socket. It is not safe for concurrent use.
type sendQueue struct {
	data []byte
	sent int // bytes at the start of data that have been sent
}

// len returns the number of bytes that wait.
func (q *sendQueue) len() int { return len(q.data) - q.sent }

// unsent returns the bytes that wait. The slice is valid until the queue changes.
func (q *sendQueue) unsent() []byte { return q.data[q.sent:] }

// append adds bytes. If at least half of the data has been sent, it first moves the waiting bytes to the front: the
// queue of a peer that reads slowly may never become empty, and would otherwise grow without limit.
func (q *sendQueue) append(data []byte) {
	if q.sent >= len(q.data)/2 {
		rest := copy(q.data, q.unsent())
		q.data = q.data[:rest]
		q.sent = 0
	}
	q.data = append(q.data, data...)
}

// advance drops the first n bytes, which have been sent. A queue that becomes empty releases its memory.
func (q *sendQueue) advance(n int) {
	q.sent += n
	if q.len() == 0 {
		q.clear()
	}
}

// clear drops all bytes and releases the memory.
func (q *sendQueue) clear() {
	q.data = nil
	q.sent = 0
}
