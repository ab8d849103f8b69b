package eventloop

import "testing"

// The queue returns bytes in order although some are sent in between, and releases its memory when it becomes empty.
func TestSendQueue_KeepsOrder(t *testing.T) {
	var q sendQueue
	q.append([]byte("first, "))
	q.advance(2)
	q.append([]byte("second, ")) // less than half is sent: the bytes are not moved
	if got := string(q.unsent()); got != "rst, second, " || q.sent != 2 {
		t.Errorf("%q waits, and %d sent bytes are in memory", got, q.sent)
	}
	q.advance(len("rst, sec"))
	q.append([]byte("third"))
	if got := string(q.unsent()); got != "ond, third" || q.len() != len(got) || q.sent != 0 {
		t.Errorf("%q of %d bytes waits, and %d sent bytes are in memory", got, q.len(), q.sent)
	}
	q.advance(q.len())
	if q.len() != 0 || q.data != nil {
		t.Errorf("length %d and capacity %d once all bytes are sent", q.len(), cap(q.data))
	}
}
