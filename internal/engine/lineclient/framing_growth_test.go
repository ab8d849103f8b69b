package lineclient

import (
	"strconv"
	"strings"
	"testing"

	"flaxrelay/internal/growthtest"
)

// parseInPieces passes a response to a parser that sees one more byte at each call, and returns the size that the
// parser reports at the end.
func parseInPieces(response string) (size int) {
	b := []byte(response)
	var parser responseParser
	for end := 1; end <= len(b) && size == 0; end++ {
		var err error
		if _, size, err = parser.parse(b[:end]); err != nil {
			return 0
		}
	}
	return size
}

// Guards against an engine that stops the front end by sending a response in small pieces: the first line was searched
// and parsed again for each of them.
func TestResponseParser_ResponseInPiecesTakesLinearTime(t *testing.T) {
	const (
		lineSize = maxLineBytes / growthtest.Factor / 2
		bodySize = maxBodyBytes / growthtest.Factor
	)
	longFields := strings.Repeat("a=1,", maxLineBytes)
	growthtest.CheckLinear(t, lineSize, func(size int) func() {
		response := "9b1f DONE " + longFields[:size] + " 0\r\n\r\n"
		return func() { parseInPieces(response) }
	})
	growthtest.CheckLinear(t, bodySize, func(size int) func() {
		fields := longFields[:size*lineSize/bodySize] // the line and the body grow alike
		response := "9b1f DONE " + fields + " " + strconv.Itoa(size) + "\r\n" + strings.Repeat("x", size) + "\r\n"
		return func() { parseInPieces(response) }
	})
}

// Guards against a response whose fields or rows take a time that grows faster than they do.
func TestResponse_FieldsAndRowsTakeLinearTime(t *testing.T) {
	for _, pattern := range []string{"a=1,", ",", "=", "gauges=;", "gauges=util:1;", "gauges=,"} {
		const lineSize = maxLineBytes / growthtest.Factor / 2
		growthtest.CheckLinear(t, lineSize, func(size int) func() {
			fields := fieldList(strings.Repeat(pattern, size/len(pattern)))
			return func() {
				fields.loadReport()
				fields.progress()
				fields.number(fieldMemory)
			}
		})
	}
	for _, row := range []string{"a\tb\tc\n", "\t\t\n", "\t", "\n", "é", "x"} {
		const pageSize = maxBodyBytes / growthtest.Factor
		growthtest.CheckLinear(t, pageSize, func(size int) func() {
			page := []byte(strings.Repeat(row, size/len(row)))
			return func() { completeRows(page) }
		})
	}
}

// Guards against a parser that loses its place: a response in pieces must be parsed like one that arrives at once.
func TestResponseParser_PiecesMakeTheSameResponse(t *testing.T) {
	for _, response := range []string{"9b1f DONE - 0\r\n\r\n", "9b1f DONE a=1,b=2 4\r\n\r\n\r\n\r\n"} {
		if size := parseInPieces(response); size != len(response) {
			t.Errorf("%q: size %d", response, size)
		}
	}
	var parser responseParser
	if _, size, err := parser.parse([]byte("9b1f DONE")); size != 0 || err != nil {
		t.Fatalf("size %d, %v", size, err)
	}
	if _, size, err := parser.parse(nil); size != 0 || err != nil { // the bytes were dropped
		t.Fatalf("size %d, %v", size, err)
	}
	parser = responseParser{}
	b := []byte("9b1f DONE - 1\r\nx\r\n77 WAIT - 0\r\n\r\n")
	for _, want := range []string{"9b1f", "77"} {
		parsed, size, err := parser.parse(b)
		if err != nil || parsed.requestID != want {
			t.Fatalf("got %q, %v; want %q", parsed.requestID, err, want)
		}
		b = b[size:]
	}
}
