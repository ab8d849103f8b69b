package httpserver

import (
	"net/http"
	"strings"
	"time"

	"flaxrelay/internal/engine/lineclient"
)

// Paths that are served.
const (
	healthPath    = "/health"
	classPrefix   = "/rpc/"  // POST: a statement of the class that the last segment names
	resultsPrefix = "/more/" // GET: a further page of a result; DELETE: releases the result
)

// route is what a request asks for.
type route uint8

const (
	routeHealth    route = iota // a health check of the front end
	routeStatement              // a statement for an engine
	routePage                   // a further page of a result
	routeRelease                // the release of a result: the client fetches no further pages
)

// routeOf returns the route of a method and a path.
func routeOf(method, path string) (route, *statusError) {
	switch {
	case path == healthPath && method == http.MethodGet:
		return routeHealth, nil
	case strings.HasPrefix(path, classPrefix) && method == http.MethodPost:
		return routeStatement, nil
	case strings.HasPrefix(path, classPrefix):
		return 0, &statusError{http.StatusMethodNotAllowed, "statements come by POST"}
	case strings.HasPrefix(path, resultsPrefix) && method == http.MethodGet:
		return routePage, nil
	case strings.HasPrefix(path, resultsPrefix) && method == http.MethodDelete:
		return routeRelease, nil
	default:
		return 0, &statusError{http.StatusNotFound, "no such path"}
	}
}

// serve responds to a complete request, or forwards it.
func (c *connection) serve(request httpRequest) {
	if c.state == stateEvicting {
		c.rejectEvicted()
		return
	}
	target, err := routeOf(request.method, request.path)
	if err != nil {
		c.reject(err)
		return
	}
	switch target {
	case routeHealth:
		c.state = stateIdle
		c.write(emptyResponse())
	case routeStatement:
		c.serveStatement(request)
	case routePage:
		c.servePage(request.path)
	case routeRelease:
		c.serveRelease(request.path)
	}
}

// serveStatement forwards a statement of the class that the last segment of the path names.
func (c *connection) serveStatement(request httpRequest) {
	className := request.path[strings.LastIndexByte(request.path, '/')+1:]
	forwarded, err := c.server.requests.build(className, request, c)
	if err != nil {
		c.reject(err)
		return
	}
	c.forward(forwarded)
}

// servePage writes a further page of a result.
func (c *connection) servePage(path string) {
	c.state = stateIdle
	rows, nextPath, ok := c.server.results.page(path)
	if !ok {
		c.write(resultNotFoundResponse())
		return
	}
	if nextPath != "" {
		c.state = statePaging
	}
	c.write(rowsResponse(rows, nextPath))
}

// serveRelease drops a result: its client fetches no further pages.
func (c *connection) serveRelease(path string) {
	c.state = stateIdle
	if !c.server.results.release(resultPath(path)) {
		c.write(resultNotFoundResponse())
		return
	}
	c.write(emptyResponse())
}

// writeResult writes the result of the request in flight, or only its first page if it has several. During a graceful
// shutdown it always writes the complete result, since there might not be time to fetch further pages.
func (c *connection) writeResult(rows lineclient.Rows, deadline time.Duration) {
	if !c.server.draining {
		first, nextPath, paged := c.server.results.addPages(rows, deadline)
		if paged {
			c.state = statePaging
			c.write(rowsResponse(first, nextPath))
			return
		}
	}
	c.write(rowsResponse(rows, ""))
}
