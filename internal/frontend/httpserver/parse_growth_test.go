package httpserver

import (
	"strconv"
	"strings"
	"testing"

	"flaxrelay/internal/growthtest"
)

// parseInPieces passes a request to a parser that sees one more byte at each call, and reports whether the request was
// complete after the last one.
func parseInPieces(request []byte) (complete bool) {
	var parser requestParser
	for end := 1; end <= len(request); end++ {
		_, size, err := parser.parse(request[:end])
		if err != nil || size > 0 {
			return end == len(request) && err == nil && size == len(request)
		}
	}
	return false
}

// headOf returns a head of some size bytes that announces a body of the given length.
func headOf(size int, bodyLength string) string {
	const field = "A:\r\n"
	fields := strings.Repeat(field, size/len(field))
	return "POST /rpc/lookup HTTP/1.1\r\nContent-Length: " + bodyLength + "\r\n" + fields + "\r\n"
}

// Guards against a client that stops the front end by sending its request in small pieces: the whole head was parsed
// again for each of them.
func TestRequestParser_RequestInPiecesTakesLinearTime(t *testing.T) {
	for name, requestOf := range map[string]func(size int) string{
		"head": func(size int) string { return headOf(size, "1") + "x" },
		"body after a small head": func(size int) string {
			body := strings.Repeat("x", size)
			return headOf(0, strconv.Itoa(size)) + body
		},
		"body after a large head": func(size int) string {
			body := strings.Repeat("x", size)
			return headOf(size, strconv.Itoa(size)) + body
		},
		"line that does not end": func(size int) string { return "GET /" + strings.Repeat("x", size) },
	} {
		t.Run(name, func(t *testing.T) {
			const size = 1500 // the larger requests stay below maxHead
			growthtest.CheckLinear(t, size, func(size int) func() {
				request := []byte(requestOf(size))
				return func() { parseInPieces(request) }
			})
		})
	}
}

// Guards against a parser that loses its place: a request in pieces must be parsed like one that arrives at once.
func TestRequestParser_PiecesMakeTheSameRequest(t *testing.T) {
	for _, request := range []string{
		headOf(40, "3") + "abc",
		"GET /health HTTP/1.1\r\n\r\n",
		"POST /rpc/lookup HTTP/1.1\r\nContent-Length: 4\r\n\r\n\r\n\r\n",
	} {
		if !parseInPieces([]byte(request)) {
			t.Errorf("%q was not parsed", request)
		}
		whole, _, err := parse([]byte(request))
		if err != nil {
			t.Fatal(err)
		}
		var parser requestParser
		for end := range request {
			if _, size, err := parser.parse([]byte(request[:end])); size != 0 || err != nil {
				t.Fatalf("%q: size %d, %v after %d bytes", request, size, err, end)
			}
		}
		if _, size, err := parser.parse(nil); size != 0 || err != nil { // the bytes were dropped
			t.Fatalf("%q: size %d, %v without bytes", request, size, err)
		}
		got, size, err := parser.parse([]byte(request + "GET /"))
		if err != nil || size != len(request) || got.path != whole.path || string(got.body) != string(whole.body) {
			t.Errorf("%q: size %d, path %s, body %q, %v", request, size, got.path, got.body, err)
		}
	}
}
