package httpserver

import (
	"net/http"
	"strings"
)

// Paths that are served.
const (
	healthPath     = "/health"
	classPrefix    = "/rpc/"  // POST: a statement of the class that the last segment names
	resultsPrefix  = "/more/" // GET: a further page of a result; DELETE: releases the result
	emptyJSON      = `{}`
	resultNotFound = "nothing is held under this path"
)

// route serves one request by its method and path.
func (c *connection) route(request httpRequest) {
	if c.evicting {
		c.closeReason = closeEvicted
		c.write(http.StatusServiceUnavailable, c.server.dispatcher.RetryAfter(), []byte(busyBody))
		return
	}
	var err *statusError
	switch path, method := request.path, request.method; {
	case path == healthPath && method == http.MethodGet:
		c.validRequestSeen = true
		c.write(http.StatusOK, 0, []byte(emptyJSON))
	case strings.HasPrefix(path, classPrefix):
		err = c.routeStatement(request)
	case strings.HasPrefix(path, resultsPrefix) && method == http.MethodGet:
		c.validRequestSeen = true
		c.writePage(path)
	case strings.HasPrefix(path, resultsPrefix) && method == http.MethodDelete:
		c.validRequestSeen = true
		c.releaseResult(path)
	default:
		err = &statusError{http.StatusNotFound, "no such path"}
	}
	if err != nil {
		c.reject(err)
	}
}

// routeStatement forwards a statement of the class that the last segment of the path names.
func (c *connection) routeStatement(request httpRequest) *statusError {
	if request.method != http.MethodPost {
		return &statusError{http.StatusMethodNotAllowed, "statements come by POST"}
	}
	className := request.path[strings.LastIndexByte(request.path, '/')+1:]
	forwarded, err := c.newRequest(className, request)
	if err != nil {
		return err
	}
	c.forward(forwarded)
	return nil
}

// releaseResult drops a result that the client does not want to fetch to its end.
func (c *connection) releaseResult(path string) {
	if c.server.results.release(resultPath(path)) {
		c.write(http.StatusOK, 0, []byte(emptyJSON))
		return
	}
	c.writeResultNotFound()
}

// writeResultNotFound responds to a path that no result is buffered under, as after a
// restart.
func (c *connection) writeResultNotFound() {
	c.write(http.StatusNotFound, 0, encodeError(resultNotFound))
}
