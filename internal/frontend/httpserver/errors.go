package httpserver

import (
	"fmt"
	"net/http"
)

// statusError is the reason why a request is invalid: the status and the message of its response. Functions return this
// type instead of error, since each such error becomes a response.
type statusError struct {
	status  int
	message string
}

// Error returns the message for the client.
func (e *statusError) Error() string { return e.message }

func badRequest(format string, args ...any) *statusError {
	return &statusError{http.StatusBadRequest, fmt.Sprintf(format, args...)}
}

func headTooLarge() *statusError {
	return &statusError{http.StatusRequestHeaderFieldsTooLarge, "the head of the request is too large"}
}

// wrongContentLength returns the error for a request that is followed by bytes that can't be a request.
func wrongContentLength() *statusError {
	return badRequest("what follows the call is no other: Content-Length is wrong")
}
