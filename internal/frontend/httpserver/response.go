package httpserver

import (
	"bytes"
	"net/http"
	"strconv"
	"time"

	"flaxrelay/internal/engine/lineclient"
	"flaxrelay/internal/frontend/clientconn"
)

// reasonPhrases are those of RFC 9110; net/http still has an older one for 413.
var reasonPhrases = map[int]string{
	http.StatusOK:                          "OK",
	http.StatusBadRequest:                  "Bad Request",
	http.StatusNotFound:                    "Not Found",
	http.StatusMethodNotAllowed:            "Method Not Allowed",
	http.StatusRequestTimeout:              "Request Timeout",
	http.StatusConflict:                    "Conflict",
	http.StatusLengthRequired:              "Length Required",
	http.StatusRequestEntityTooLarge:       "Content Too Large",
	http.StatusRequestHeaderFieldsTooLarge: "Request Header Fields Too Large",
	http.StatusInternalServerError:         "Internal Server Error",
	http.StatusNotImplemented:              "Not Implemented",
	http.StatusServiceUnavailable:          "Service Unavailable",
	http.StatusHTTPVersionNotSupported:     "HTTP Version Not Supported",
}

// Sizes that buffers are allocated with, so that they seldom need to grow.
const (
	usualHeadSize     = 160 // bytes of a response before its body
	usualEnvelopeSize = 64  // bytes of JSON around the rows
)

// reject responds to an invalid request and closes the connection: what follows a
// request that can't be read can't be trusted, and a client that sends invalid requests
// without pause has to connect for each.
func (c *connection) reject(err *statusError) {
	c.server.counters.IncrementByName("http.bad-requests")
	c.closeAfterResponse, c.closeReason = true, closeInvalidRequest
	c.write(err.status, 0, encodeError(err.message))
}

// write sends one response in one piece. It has a Srv-Wait-Ms field where retryAfter is
// above 0.
func (c *connection) write(status int, retryAfter time.Duration, body []byte) {
	if c.state == stateClosing {
		return
	}
	if (c.server.draining || c.evicting) && c.state != statePaging && !c.hasUnread() {
		c.closeAfterResponse = true
	}
	c.socket.Write(appendResponse(make([]byte, 0, usualHeadSize+len(body)), status, retryAfter, c.closeAfterResponse, body))
	if !c.closeAfterResponse {
		return
	}
	c.state = stateClosing
	if c.closeReason == "" {
		c.closeReason = closeBehindResponse
	}
	if status >= 400 && status < 500 {
		c.socket.CloseAfterLinger()
	} else {
		c.socket.Close()
	}
}

func appendResponse(b []byte, status int, retryAfter time.Duration, closes bool, body []byte) []byte {
	b = append(b, "HTTP/1.1 "...)
	b = strconv.AppendInt(b, int64(status), 10)
	b = append(b, ' ')
	b = append(b, reasonPhrases[status]...)
	b = append(b, "\r\nContent-Type: application/json\r\nContent-Length: "...)
	b = strconv.AppendInt(b, int64(len(body)), 10)
	b = append(b, "\r\n"...)
	if retryAfter > 0 {
		b = append(b, "Srv-Wait-Ms: "...)
		b = strconv.AppendInt(b, clientconn.CeilMilliseconds(retryAfter), 10)
		b = append(b, "\r\n"...)
	}
	if closes {
		b = append(b, "Connection: close\r\n"...)
	}
	b = append(b, "\r\n"...)
	return append(b, body...)
}

// encodeRows encodes rows of tab-separated columns as JSON arrays of strings, and the
// path of the next page unless it is empty.
func encodeRows(rows lineclient.Rows, nextPath string) []byte {
	size := usualEnvelopeSize
	for _, page := range rows {
		size += len(page) + len(page)/2 // quotes and commas add about half
	}
	b := append(make([]byte, 0, size), '{')
	if nextPath != "" {
		b = append(b, `"more":`...)
		b = appendString(b, []byte(nextPath))
		b = append(b, ',')
	}
	b = append(b, `"result":[`...)
	first := true
	for _, page := range rows {
		for len(page) > 0 {
			var row []byte
			row, page, _ = bytes.Cut(page, []byte{'\n'})
			if !first {
				b = append(b, ',')
			}
			first = false
			b = appendRow(b, row)
		}
	}
	return append(b, "]}"...)
}

func appendRow(b, row []byte) []byte {
	b = append(b, '[')
	for i, column := range bytes.Split(row, []byte{'\t'}) {
		if i > 0 {
			b = append(b, ',')
		}
		b = appendString(b, column)
	}
	return append(b, ']')
}

// refuse answers what has arrived of a request by a rejection and closes the connection.
// Nothing of it was forwarded.
func (c *connection) refuse(reason closeReason) {
	c.closeAfterResponse, c.closeReason = true, reason
	c.state = stateReady // not paging: the response is the last
	c.write(http.StatusServiceUnavailable, c.server.dispatcher.RetryAfter(), []byte(busyBody))
}

func encodeError(message string) []byte {
	b := appendString([]byte(`{"fault":`), []byte(message))
	return append(b, '}')
}

// appendString appends a JSON string. All bytes stay as they are except those that JSON
// needs escaped.
func appendString(b, s []byte) []byte {
	const hexDigits = "0123456789abcdef"
	b = append(b, '"')
	for _, char := range s {
		switch {
		case char == '"' || char == '\\':
			b = append(b, '\\', char)
		case char < 0x20:
			b = append(b, '\\', 'u', '0', '0', hexDigits[char>>4], hexDigits[char&15])
		default:
			b = append(b, char)
		}
	}
	return append(b, '"')
}
