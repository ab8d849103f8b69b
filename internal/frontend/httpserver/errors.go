package httpserver

import (
	"fmt"
	"net/http"
)

// statusError is an invalid request: the status and the message of its response.
type statusError struct {
	status  int
	message string
}

// Error returns the message that the client is given.
func (e *statusError) Error() string { return e.message }

func badRequest(format string, args ...any) *statusError {
	return &statusError{http.StatusBadRequest, fmt.Sprintf(format, args...)}
}

func wrongContentLength() *statusError {
	return badRequest("what follows the call is no other: Content-Length is wrong")
}
