package pgserver

import (
	"encoding/binary"
	"testing"

	"flaxrelay/internal/pgproto"
)

// The values of a Bind lie within the message, and the result formats of any Bind that is accepted can be applied to a
// description.
func FuzzReadBind_ValuesLieWithinTheMessage(f *testing.F) {
	f.Add([]byte{0, 1, 0, 1, 0, 2, 0, 0, 0, 1, 'k', 255, 255, 255, 255, 0, 1, 0, 1})
	f.Add([]byte{255, 255})
	const (
		lengthSize   = 4  // of a value's length
		formatOffset = 20 // of the column's format in the description
	)
	fields := append([]byte{0, 1, 'c', 0}, make([]byte, 18)...) // one column, named c
	f.Fuzz(func(t *testing.T, input []byte) {
		binds, resultFormats, ok := readBind(&pgproto.Reader{Unread: input})
		if !ok {
			return
		}
		size := 0
		for _, value := range binds.Values {
			size += lengthSize + len(value)
		}
		if size > len(input) {
			t.Fatalf("%d bytes of values in %d", size, len(input))
		}
		described, err := pgproto.ApplyResultFormats(fields, resultFormats)
		if err != nil || len(described) != len(fields) ||
			binary.BigEndian.Uint16(described[formatOffset:]) > pgproto.FormatBinary {
			t.Fatalf("formats %v, %v", described, err)
		}
	})
}
