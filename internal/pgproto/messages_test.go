package pgproto

import "testing"

// A decoded message lies within the input, its body lies within the message, and no input makes the decoders of bodies
// panic.
func FuzzMessages_LieWithinTheInput(f *testing.F) {
	const maxLength = 1 << 16
	errorResponse := (&Error{Severity: "ERROR", Code: "42P01", Message: "m", Hint: "h"}).Body()
	f.Add(AppendMessage(nil, 'E', errorResponse), []byte{0, 0, 0, 0, 0, 1, 0, 1})
	f.Add(AppendStartup(nil, ProtocolVersion, []byte("user\x00x\x00\x00")), []byte{})
	f.Fuzz(func(t *testing.T, input, formats []byte) {
		if _, body, size, err := ParseStartup(input); size > len(input) || len(body) > size || err != nil && size != 0 {
			t.Fatalf("startup: %d of %d bytes, %v", size, len(input), err)
		}
		_, body, size, err := ParseMessage(input, maxLength)
		if size > len(input) || len(body) > size || err != nil && size != 0 {
			t.Fatalf("%d of %d bytes, %v", size, len(input), err)
		}
		_, _ = ParseError(body)
		_, _ = ApplyResultFormats(body, formats)
	})
}
