package httpserver

import (
	"net/http"
	"strconv"
	"time"

	"flaxrelay/internal/engine/lineclient"
	"flaxrelay/internal/frontend/clientconn"
)

// reasonPhrases are the reason phrases of RFC 9110; net/http has an older one for status 413.
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

// usualHeadSize is the usual number of bytes of a response before its body. Buffers are allocated with this reserve, so
// that they seldom need to grow.
const usualHeadSize = 160

// Bodies of responses without details.
const (
	emptyBody    = `{}`
	rejectedBody = `{"fault":"Busy"}`
	failedBody   = `{"fault":"Failed"}`
)

// response is one response to a client.
type response struct {
	status     int
	retryAfter time.Duration // the Srv-Wait-Ms field; 0: the response has none
	body       []byte
}

// emptyResponse returns the response to a successful request that has no result.
func emptyResponse() response { return response{status: http.StatusOK, body: []byte(emptyBody)} }

// rowsResponse returns a response with rows of a result, and with the path of the next page unless that is empty.
func rowsResponse(rows lineclient.Rows, nextPath string) response {
	return response{status: http.StatusOK, body: encodeRows(rows, nextPath)}
}

// resultNotFoundResponse returns the response for a path under which no result is buffered, for example after a
// restart.
func resultNotFoundResponse() response {
	return response{status: http.StatusNotFound, body: encodeError("nothing is held under this path")}
}

// rejectedResponse returns the response to a request that did not run.
func rejectedResponse(retryAfter time.Duration) response {
	return response{status: http.StatusServiceUnavailable, retryAfter: retryAfter, body: []byte(rejectedBody)}
}

// failedResponse returns the response to a request that may have run.
func failedResponse() response {
	return response{status: http.StatusInternalServerError, body: []byte(failedBody)}
}

// errorResponse returns the response to an invalid request.
func errorResponse(err *statusError) response {
	return response{status: err.status, body: encodeError(err.message)}
}

// isClientError reports whether the status is a client error (4xx).
func (r response) isClientError() bool {
	return r.status >= http.StatusBadRequest && r.status < http.StatusInternalServerError
}

// encode returns the response as it is sent.
func (r response) encode() []byte { return r.encodeWith("") }

// encodeLast returns the response with a header field that announces the close of the connection.
func (r response) encodeLast() []byte { return r.encodeWith("Connection: close\r\n") }

// encodeWith returns the response with an additional header field. field is empty or ends with CRLF.
func (r response) encodeWith(field string) []byte {
	b := make([]byte, 0, usualHeadSize+len(r.body))
	b = append(b, "HTTP/1.1 "...)
	b = strconv.AppendInt(b, int64(r.status), 10)
	b = append(b, ' ')
	b = append(b, reasonPhrases[r.status]...)
	b = append(b, "\r\nContent-Type: application/json\r\nContent-Length: "...)
	b = strconv.AppendInt(b, int64(len(r.body)), 10)
	b = append(b, lineEnd...)
	if r.retryAfter > 0 {
		b = append(b, "Srv-Wait-Ms: "...)
		b = strconv.AppendInt(b, clientconn.CeilMilliseconds(r.retryAfter), 10)
		b = append(b, lineEnd...)
	}
	b = append(b, field...)
	b = append(b, lineEnd...)
	return append(b, r.body...)
}
