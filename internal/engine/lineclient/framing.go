package lineclient

import (
	"bytes"
	"errors"
	"fmt"
	"strconv"
	"strings"
)

const (
	// maxLineBytes limits the first line of a response.
	maxLineBytes = 2 << 10
	// maxBodyBytes limits the body of a response, such as a page. The limit of the protocol is lower.
	maxBodyBytes = 16 << 10
	// wordsPerLine is the number of words of the first line: the request's id, the kind
	// of the response, its fields and the length of its body in bytes.
	wordsPerLine = 4
)

// response is one message of an engine.
type response struct {
	requestID string
	kind      responseKind
	fields    fieldList
	body      []byte // within the read buffer
}

// errMalformedResponse is wrapped by the error of each response that can't be parsed.
var errMalformedResponse = errors.New("malformed response")

var (
	errLine   = fmt.Errorf("%w: the first line is too long or does not end with CR LF", errMalformedResponse)
	errWords  = fmt.Errorf("%w: the first line does not have four words", errMalformedResponse)
	errLength = fmt.Errorf("%w: the length of the body is not a number or is too large", errMalformedResponse)
	errBody   = fmt.Errorf("%w: the body is not followed by CR LF", errMalformedResponse)
)

// responseParser parses the response at the start of an input that grows. It remembers what it has
// found out about an incomplete response, so that the cost of a response that arrives in many
// pieces is linear in its size. Its zero value expects a new response.
type responseParser struct {
	searched int // bytes at the start of the input that do not contain the end of the first line
	size     int // bytes of the response; 0: unknown, since the first line is incomplete
}

// parse returns the first response of b and its size in bytes, or a size of 0 if the response is
// incomplete. The parser then expects that b begins with the same bytes at the next call, or that b is
// empty: a connection that is closed because the read buffers are full loses its bytes.
func (p *responseParser) parse(b []byte) (parsed response, size int, err error) {
	if len(b) < max(p.size, p.searched) {
		return response{}, 0, nil
	}
	line, complete, err := p.firstLine(b)
	if err != nil || !complete {
		return response{}, 0, err
	}
	words := strings.Split(string(line), " ")
	if len(words) != wordsPerLine || words[0] == "" || words[1] == "" {
		return response{}, 0, errWords
	}
	bodyLength, err := strconv.ParseUint(words[3], 10, 31)
	if err != nil || bodyLength > maxBodyBytes {
		return response{}, 0, errLength
	}
	bodyStart := len(line) + len(lineEnd)
	bodyEnd := bodyStart + int(bodyLength)
	messageEnd := bodyEnd + len(lineEnd)
	if len(b) < messageEnd {
		p.size = messageEnd
		return response{}, 0, nil
	}
	if string(b[bodyEnd:messageEnd]) != lineEnd {
		return response{}, 0, errBody
	}
	parsed = response{
		requestID: words[0],
		kind:      responseKind(words[1]),
		fields:    fieldList(words[2]),
		body:      b[bodyStart:bodyEnd],
	}
	*p = responseParser{}
	return parsed, messageEnd, nil
}

// firstLine returns the first line of b without its CR LF, if the line is complete.
func (p *responseParser) firstLine(b []byte) (line []byte, complete bool, err error) {
	searchable := b[:min(len(b), maxLineBytes)]
	found := bytes.IndexByte(searchable[p.searched:], '\n')
	if found < 0 {
		if len(b) >= maxLineBytes {
			return nil, false, errLine
		}
		p.searched = len(searchable)
		return nil, false, nil
	}
	end := p.searched + found
	if end == 0 || b[end-1] != '\r' {
		return nil, false, errLine
	}
	p.searched = end
	return b[:end-1], true, nil
}
