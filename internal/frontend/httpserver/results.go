package httpserver

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"flaxrelay/internal/engine/lineclient"
	"flaxrelay/internal/frontend/clientconn"
	"flaxrelay/internal/lifecycle"
)

const (
	// maxPageSize bounds the bytes of rows in one response, unless a single page of the
	// engine has more.
	maxPageSize = 64 << 10
	// resultGracePeriod is how long past its request's deadline a result can be fetched.
	resultGracePeriod = time.Second
)

// resultStore buffers results of more than one page for their clients to fetch. It
// belongs to the goroutine of the event loop.
type resultStore struct {
	instanceID string // tells the paths of this process from those of an earlier one
	sequence   uint64 // of the latest result
	byPath     map[string]*bufferedResult
	budget     clientconn.Budget
}

// bufferedResult is a result that its client fetches page by page.
type bufferedResult struct {
	pages          []lineclient.Rows
	size           int  // bytes of all pages
	lastPageServed bool // at least once
}

func newResultStore(instanceID string, maxBytes int) *resultStore {
	store := &resultStore{instanceID: instanceID, byPath: map[string]*bufferedResult{}}
	store.budget.SetLimit(maxBytes)
	return store
}

// add buffers the pages of a result and returns their path, or false if they exceed the
// budget.
func (s *resultStore) add(pages []lineclient.Rows, size int) (path string, ok bool) {
	if !s.budget.TryReserve(size) {
		return "", false
	}
	s.sequence++
	path = fmt.Sprintf("%s%s-%d", resultsPrefix, s.instanceID, s.sequence)
	s.byPath[path] = &bufferedResult{pages: pages, size: size}
	return path, true
}

// release drops a result and reports whether it was there.
func (s *resultStore) release(path string) bool {
	result := s.byPath[path]
	if result == nil {
		return false
	}
	delete(s.byPath, path)
	s.budget.Release(result.size)
	return true
}

// allServed reports whether the last page of each result has been served.
func (s *resultStore) allServed() bool {
	for _, result := range s.byPath {
		if !result.lastPageServed {
			return false
		}
	}
	return true
}

// page returns a page of a result and the path of the next one, "" after the last.
func (s *resultStore) page(pagePath string) (rows lineclient.Rows, nextPath string, ok bool) {
	path := resultPath(pagePath)
	result := s.byPath[path]
	number, err := strconv.Atoi(pagePath[len(path)+1:])
	if result == nil || err != nil || number < 1 || number >= len(result.pages) {
		return nil, "", false
	}
	if number == len(result.pages)-1 {
		result.lastPageServed = true
		return result.pages[number], "", true
	}
	return result.pages[number], fmt.Sprintf("%s/%d", path, number+1), true
}

// resultPath returns the path of a result, which is that of a page without its number.
func resultPath(pagePath string) string {
	return pagePath[:strings.LastIndexByte(pagePath, '/')]
}

// writeRows writes the first page of a result and buffers the result for the client to
// fetch the others. A small one is written completely, and so is one that can't be
// buffered, or that a shutdown would not leave the time to fetch.
func (c *connection) writeRows(request *lifecycle.Request, rows lineclient.Rows) {
	pages, size := paginate(rows)
	if len(pages) < 2 || c.server.draining {
		c.write(http.StatusOK, 0, encodeRows(rows, ""))
		return
	}
	path, ok := c.server.results.add(pages, size)
	if !ok {
		c.write(http.StatusOK, 0, encodeRows(rows, ""))
		return
	}
	c.server.loop.Timers.Schedule(request.Deadline+resultGracePeriod, func() { c.server.results.release(path) })
	c.state = statePaging
	c.write(http.StatusOK, 0, encodeRows(pages[0], path+"/1"))
}

// writePage writes a further page. All stay buffered until the deadline of the request:
// a client whose connection broke requests the page again.
func (c *connection) writePage(path string) {
	rows, nextPath, ok := c.server.results.page(path)
	if !ok {
		c.writeResultNotFound()
		return
	}
	if nextPath != "" {
		c.state = statePaging
	}
	c.write(http.StatusOK, 0, encodeRows(rows, nextPath))
}

// paginate divides the pages of an engine into those of responses, and returns the bytes
// of all.
func paginate(rows lineclient.Rows) (pages []lineclient.Rows, size int) {
	pageSize := 0
	for _, part := range rows {
		if len(pages) == 0 || pageSize+len(part) > maxPageSize {
			pages, pageSize = append(pages, nil), 0
		}
		last := len(pages) - 1
		pages[last] = append(pages[last], part)
		pageSize += len(part)
		size += len(part)
	}
	return pages, size
}
