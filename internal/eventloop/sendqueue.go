package eventloop

// sendQueue holds the bytes that wait to be sent on one socket. It is not safe for concurrent use.
type sendQueue struct {
	data []byte
	sent int // bytes at the start of data that have been sent
}

// len returns the number of bytes that wait.
func (q *sendQueue) len() int { return len(q.data) - q.sent }

// unsent returns the bytes that wait. It is valid until the next call.
func (q *sendQueue) unsent() []byte { return q.data[q.sent:] }

// append adds bytes. It first moves the waiting bytes to the front if at least half of the data has been sent: a peer
// that reads slowly may leave the queue never empty.
func (q *sendQueue) append(data []byte) {
	if q.sent >= len(q.data)/2 {
		rest := copy(q.data, q.unsent())
		q.data = q.data[:rest]
		q.sent = 0
	}
	q.data = append(q.data, data...)
}

// advance drops the first n bytes, which have been sent. An empty queue holds no memory.
func (q *sendQueue) advance(n int) {
	q.sent += n
	if q.len() == 0 {
		q.clear()
	}
}

// clear drops everything.
func (q *sendQueue) clear() {
	q.data = nil
	q.sent = 0
}
