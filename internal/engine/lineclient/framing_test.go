package lineclient

import (
	"errors"
	"strings"
	"testing"
)

// parseResponse parses a response that has arrived in one piece.
func parseResponse(b []byte) (parsed response, size int, err error) {
	var parser responseParser
	return parser.parse(b)
}

// FuzzParseResponse checks that a response lies within the bytes that an engine has sent, and
// that every error wraps errMalformedResponse.
func FuzzParseResponse(f *testing.F) {
	f.Add([]byte("9b1f DONE batches=2,cpu=1.5,gauges=util:0.5;x 3\r\na\tb\r\n"))
	f.Fuzz(func(t *testing.T, b []byte) {
		parsed, size, err := parseResponse(b)
		if size > len(b) || len(parsed.body) > size || err != nil && size != 0 {
			t.Fatalf("size %d in %d bytes, body of %d bytes, error %v", size, len(b), len(parsed.body), err)
		}
		if err != nil && !errors.Is(err, errMalformedResponse) {
			t.Fatalf("%v does not wrap %q", err, errMalformedResponse)
		}
		parsed.fields.loadReport()
		parsed.fields.progress()
	})
}

func TestParseResponse_ReportsWhatIsMalformed(t *testing.T) {
	for name, test := range map[string]struct {
		in   string
		want error
	}{
		"incomplete line":    {"9b1f DONE - ", nil},
		"incomplete body":    {"9b1f DONE - 3\r\na\t", nil},
		"line end":           {"9b1f DONE - 0\n", errLine},
		"empty line":         {"\n", errLine},
		"endless line":       {strings.Repeat("x", maxLineBytes), errLine},
		"three words":        {"9b1f DONE -\r\n", errWords},
		"no id":              {" DONE - 0\r\n", errWords},
		"length not numeric": {"9b1f DONE - x\r\n", errLength},
		"length too large":   {"9b1f DONE - 16385\r\n", errLength},
		"body without end":   {"9b1f DONE - 1\r\naxx", errBody},
		"negative length":    {"9b1f DONE - -1\r\n", errLength},
		"body end is cut":    {"9b1f DONE - 1\r\na\r", nil},
	} {
		t.Run(name, func(t *testing.T) {
			_, size, err := parseResponse([]byte(test.in))
			if size != 0 || !errors.Is(err, test.want) {
				t.Errorf("size %d and error %v, want 0 and %v", size, err, test.want)
			}
		})
	}
}
