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

// parseResponse returns the first response of b and its size in bytes, or a size of 0 if
// the response is incomplete.
func parseResponse(b []byte) (parsed response, size int, err error) {
	line, complete, err := firstLine(b)
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
	return parsed, messageEnd, nil
}

// firstLine returns the first line of b without its CR LF, if the line is complete.
func firstLine(b []byte) (line []byte, complete bool, err error) {
	end := bytes.IndexByte(b[:min(len(b), maxLineBytes)], '\n')
	switch {
	case end < 0 && len(b) >= maxLineBytes:
		return nil, false, errLine
	case end < 0:
		return nil, false, nil
	case end == 0 || b[end-1] != '\r':
		return nil, false, errLine
	}
	return b[:end-1], true, nil
}
