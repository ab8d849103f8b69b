package httpserver

import (
	"bytes"
	"net/http"
	"strconv"
	"strings"
	"time"
)

const (
	maxHead    = 16 << 10 // bytes of the request line and the header fields
	maxBody    = 96 << 10 // bytes of the statement
	maxRequest = maxHead + maxBody
	lineEnd    = "\r\n"
	headEnd    = "\r\n\r\n"
)

// Header fields that are read, by their names in lower case.
const (
	fieldContentLength    = "content-length"
	fieldTransferEncoding = "transfer-encoding"
	fieldConnection       = "connection"
	fieldRequestID        = "req-id"
	fieldWait             = "req-wait-ms" // how long the client waits
	fieldRetry            = "req-retry"   // "1": the client has sent the request before
	fieldIdempotencyKey   = "req-token"
	fieldWork             = "req-cost" // estimated milliseconds of work
	fieldMemory           = "req-kb"   // estimated memory in MB, despite the name
	fieldTenant           = "req-owner"
	fieldOrderKey         = "req-key"
)

// knownFields is the set of header fields that are read; all others are ignored.
var knownFields = map[string]bool{
	fieldContentLength:    true,
	fieldTransferEncoding: true,
	fieldConnection:       true,
	fieldRequestID:        true,
	fieldWait:             true,
	fieldRetry:            true,
	fieldIdempotencyKey:   true,
	fieldWork:             true,
	fieldMemory:           true,
	fieldTenant:           true,
	fieldOrderKey:         true,
}

// httpRequest is one request of a client.
type httpRequest struct {
	method     string
	path       string
	header     map[string]string // known fields by name in lower case
	body       []byte            // a slice of the input
	wantsClose bool              // the client wants the connection closed after the response
	arrivedAt  time.Duration     // when its last byte was read, as of Loop.Now; set by requestReader
}

// requestParser parses the request at the start of an input that grows. It remembers what it has found out about an
// incomplete request, so that the cost of a request that arrives in many pieces is linear in its size. Its zero value
// expects a new request. It holds no part of the request, because hundreds of clients may send slowly.
type requestParser struct {
	searched int // bytes at the start of the input that do not contain the end of the head
	size     int // bytes of the request; 0: unknown, since the head is incomplete
}

// parse parses the request and returns its size, or 0 while it is incomplete. The input must begin with the bytes of
// the previous call, unless that call has returned a request or an error; then the parser must be reset.
func (p *requestParser) parse(input []byte) (request httpRequest, size int, err *statusError) {
	if len(input) < max(p.size, p.searched) {
		return request, 0, nil
	}
	headSize, err := p.findHeadEnd(input)
	if err != nil || headSize < 0 {
		return request, 0, err
	}
	request, err = parseHead(input[:headSize])
	if err != nil {
		return request, 0, err
	}
	length, err := bodyLength(request)
	if err != nil {
		return request, 0, err
	}
	start := headSize + len(headEnd)
	p.size = start + length
	if len(input) < p.size {
		return request, 0, nil
	}
	request.body = input[start:p.size]
	return request, p.size, nil
}

// findHeadEnd returns the size of the head without the empty line at its end, or -1 if the head is incomplete.
func (p *requestParser) findHeadEnd(input []byte) (headSize int, err *statusError) {
	headInput := input[:min(len(input), maxHead)]
	found := bytes.Index(headInput[p.searched:], []byte(headEnd))
	if found >= 0 {
		p.searched += found
		return p.searched, nil
	}
	if len(input) >= maxHead {
		return -1, headTooLarge()
	}
	p.searched = max(len(headInput)-len(headEnd)+1, 0) // the last bytes may be the start of headEnd
	return -1, nil
}

// parseHead reads the request line and the header fields.
func parseHead(head []byte) (request httpRequest, err *statusError) {
	// This prevents request smuggling: other HTTP implementations may accept a lone CR or LF as the end of a line, and
	// then read a header field that this parser does not see.
	if bytes.ContainsAny(bytes.ReplaceAll(head, []byte(lineEnd), nil), "\r\n\x00") {
		return request, badRequest("a line of the head has a stray CR, LF or NUL")
	}
	lines := strings.Split(string(head), lineEnd)
	method, path, version, err := parseRequestLine(lines[0])
	if err != nil {
		return request, err
	}
	if version != "HTTP/1.1" && version != "HTTP/1.0" {
		return request, &statusError{http.StatusHTTPVersionNotSupported, "only HTTP/1.1 is spoken here"}
	}
	request = httpRequest{method: method, path: path, header: map[string]string{}}
	for _, line := range lines[1:] {
		if err := parseField(request.header, line); err != nil {
			return request, err
		}
	}
	// Transfer-Encoding is rejected even if it is empty: if there is a Content-Length, too, the body might hide another
	// request.
	if _, ok := request.header[fieldTransferEncoding]; ok {
		return request, &statusError{http.StatusNotImplemented, "transfer encodings are not taken; send Content-Length"}
	}
	request.wantsClose = version == "HTTP/1.0" || strings.EqualFold(request.header[fieldConnection], "close")
	return request, nil
}

// parseRequestLine reads the first line of a request.
func parseRequestLine(line string) (method, path, version string, err *statusError) {
	const partsOfRequestLine = 3
	parts := strings.Split(line, " ")
	if len(parts) != partsOfRequestLine || parts[0] == "" || !strings.HasPrefix(parts[1], "/") {
		return "", "", "", badRequest("malformed request line")
	}
	return parts[0], parts[1], parts[2], nil
}

// parseField reads one header field and adds it to the header if its name is known.
func parseField(header map[string]string, line string) *statusError {
	name, value, ok := strings.Cut(line, ":")
	if !ok || name == "" || strings.ContainsAny(name, " \t") {
		return badRequest("malformed header field")
	}
	name = strings.ToLower(name)
	if !knownFields[name] {
		return nil
	}
	if _, duplicate := header[name]; duplicate {
		return badRequest("header field %s came twice", name)
	}
	header[name] = strings.Trim(value, " \t")
	return nil
}

// bodyLength returns the length of the body that the header fields announce.
func bodyLength(request httpRequest) (int, *statusError) {
	length := uint64(0)
	if text, ok := request.header[fieldContentLength]; ok {
		parsed, err := strconv.ParseUint(text, 10, 63)
		if err != nil {
			return 0, badRequest("Content-Length is no number")
		}
		length = parsed
	}
	if length > maxBody {
		return 0, &statusError{http.StatusRequestEntityTooLarge, "the body of the request is too large"}
	}
	if length == 0 && request.method == http.MethodPost {
		return 0, &statusError{http.StatusLengthRequired, "a POST without a statement"}
	}
	return int(length), nil
}

// canStartRequest reports whether the bytes after a request can be the start of another. If they can't, the
// Content-Length of the request was wrong, and so is its statement.
func canStartRequest(input []byte) bool {
	for _, start := range []string{"GET /", "POST /", "DELETE /"} {
		if n := min(len(input), len(start)); string(input[:n]) == start[:n] {
			return true
		}
	}
	return false
}
