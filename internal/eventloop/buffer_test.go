package eventloop

import (
	"bytes"
	"testing"
)

// What is consumed and appended in turn comes out in order, and an empty buffer gives a
// large message's memory back.
func TestBuffer(t *testing.T) {
	var b Buffer
	b.append([]byte("first, second"))
	b.Consume(len("first, "))
	b.append([]byte(", third"))
	if got := string(b.Bytes()); got != "second, third" || b.Len() != len(got) {
		t.Errorf("%q of %d bytes", got, b.Len())
	}
	b.append(bytes.Repeat([]byte("x"), maxIdleBuffer))
	b.Consume(b.Len())
	if b.Len() != 0 || b.data != nil {
		t.Errorf("%d bytes in memory of %d once all is consumed", b.Len(), cap(b.data))
	}
}
