package pgproto

import "testing"

// Whatever a peer sends, a message lies within it and its fields within that.
func FuzzMessages(f *testing.F) {
	f.Add(AppendMessage(nil, 'E', (&Error{Severity: "ERROR", Code: "42P01", Message: "m", Hint: "h"}).Body()), []byte{0, 0, 0, 0, 0, 1, 0, 1})
	f.Add(AppendStartup(nil, ProtocolVersion, []byte("user\x00x\x00\x00")), []byte{})
	f.Fuzz(func(t *testing.T, b, bind []byte) {
		if _, body, n, err := ParseStartup(b); n > len(b) || len(body) > n || err != nil && n != 0 {
			t.Fatalf("startup: %d of %d bytes, %v", n, len(b), err)
		}
		_, body, n, err := ParseMessage(b, 1<<16)
		if n > len(b) || len(body) > n || err != nil && n != 0 {
			t.Fatalf("%d of %d bytes, %v", n, len(b), err)
		}
		_, _ = ParseError(body)
		_, _ = ApplyResultFormats(body, bind)
	})
}
