package httpserver

import (
	"encoding/json"
	"slices"
	"testing"

	"flaxrelay/internal/engine/lineclient"
)

// parse parses a request that has arrived in one piece.
func parse(input []byte) (request httpRequest, size int, err *statusError) {
	var parser requestParser
	return parser.parse(input)
}

// A parsed request lies within the input, and bytes that are appended to the input do not change a complete request.
func FuzzParse_RequestLiesWithinTheInput(f *testing.F) {
	const statement = "POST /rpc/lookup HTTP/1.1\r\nReq-Id: 1\r\nContent-Length: 2\r\n\r\nab"
	f.Add([]byte(statement), []byte("GET / HTTP/1.1\r\n\r\n"))
	f.Fuzz(func(t *testing.T, input, more []byte) {
		request, size, err := parse(input)
		if size > len(input) || len(request.body) > size || err != nil && size != 0 {
			t.Fatalf("%d of %d bytes, body %d, %v", size, len(input), len(request.body), err)
		}
		if size == 0 || err != nil {
			return
		}
		longer, longerSize, err := parse(append(slices.Clip(input), more...))
		if longerSize != size || err != nil {
			t.Fatalf("%d bytes, %v; want %d", longerSize, err, size)
		}
		if longer.path != request.path || string(longer.body) != string(request.body) {
			t.Fatalf("%q turned into %q", request.path, longer.path)
		}
	})
}

// The encoded rows are valid JSON whatever bytes they contain.
func FuzzEncodeRows_IsJSON(f *testing.F) {
	f.Add("a\t\"b\"\\\x01\nc\td\n")
	f.Fuzz(func(t *testing.T, page string) {
		if b := encodeRows(lineclient.Rows{[]byte(page)}, "/more/x"); !json.Valid(b) {
			t.Fatalf("%q", b)
		}
	})
}
