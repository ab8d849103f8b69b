package httpserver

import (
	"crypto/rand"
	"fmt"
	"strconv"
	"strings"
	"time"

	"flaxrelay/internal/engine/lineclient"
	"flaxrelay/internal/memorybudget"
	"flaxrelay/internal/timerqueue"
)

const (
	// maxPageSize limits the bytes of rows in one page of a result. A larger page of the engine is not divided: it
	// becomes one page of the result.
	maxPageSize = 64 << 10
	// resultGracePeriod is how long a result can be fetched after the deadline of its request.
	resultGracePeriod = time.Second
	// resultSecretSize is the size in bytes of the random number in the path of a result.
	resultSecretSize = 8
)

// resultStore buffers results of more than one page for their clients to fetch. All pages stay buffered until
// resultGracePeriod after the deadline of the request, or until the client releases the result: a client whose
// connection broke may request a page again. The store must be used from the goroutine of the event loop only.
type resultStore struct {
	timers   *timerqueue.Queue
	sequence uint64 // number of the latest result, as in its path
	byPath   map[string]*bufferedResult
	budget   memorybudget.Budget
}

// bufferedResult is a result that its client fetches page by page.
type bufferedResult struct {
	pages          []lineclient.Rows
	size           int  // bytes of all pages
	lastPageServed bool // the last page was served at least once
}

func newResultStore(timers *timerqueue.Queue, maxBytes int) *resultStore {
	return &resultStore{
		timers: timers,
		byPath: map[string]*bufferedResult{},
		budget: memorybudget.New(maxBytes),
	}
}

// addPages divides a result into pages and buffers them until resultGracePeriod after the deadline. It returns the
// first page and the path of the next one. If the result has a single page or exceeds the budget, it is not buffered
// and paged is false.
func (s *resultStore) addPages(
	rows lineclient.Rows, deadline time.Duration,
) (first lineclient.Rows, nextPath string, paged bool) {
	pages, size := paginate(rows)
	if len(pages) <= 1 {
		return nil, "", false
	}
	path, ok := s.add(pages, size)
	if !ok {
		return nil, "", false
	}
	s.timers.Schedule(deadline+resultGracePeriod, func() { s.release(path) })
	return pages[0], pagePath(path, 1), true
}

// add buffers the pages of a result and returns their path, or false if they exceed the budget.
func (s *resultStore) add(pages []lineclient.Rows, size int) (path string, ok bool) {
	if !s.budget.TryReserve(size) {
		return "", false
	}
	path = s.newPath()
	s.byPath[path] = &bufferedResult{pages: pages, size: size}
	return path, true
}

// newPath returns the path of a new result. It contains a random number, so that no client can name the result of
// another one, and so that no path of an earlier process is used again.
func (s *resultStore) newPath() string {
	var secret [resultSecretSize]byte
	_, _ = rand.Read(secret[:]) // never returns an error
	s.sequence++
	return fmt.Sprintf("%s%x-%d", resultsPrefix, secret, s.sequence)
}

// release drops a result and reports whether it was buffered.
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

// page returns the page with this path, and the path of the next page or "" if this is the last one. ok is false if
// there is no such page.
func (s *resultStore) page(path string) (rows lineclient.Rows, nextPath string, ok bool) {
	basePath := resultPath(path)
	result := s.byPath[basePath]
	number, err := strconv.Atoi(path[len(basePath)+1:])
	if result == nil || err != nil || number < 1 || number >= len(result.pages) {
		return nil, "", false
	}
	if number == len(result.pages)-1 {
		result.lastPageServed = true
		return result.pages[number], "", true
	}
	return result.pages[number], pagePath(basePath, number+1), true
}

// pagePath returns the path of a page of a result.
func pagePath(resultPath string, number int) string { return fmt.Sprintf("%s/%d", resultPath, number) }

// resultPath returns the path of the result that a page belongs to: the path of the page without its number.
func resultPath(pagePath string) string {
	return pagePath[:strings.LastIndexByte(pagePath, '/')]
}

// paginate combines the pages of an engine into pages of responses. It returns these pages and their total size in
// bytes.
func paginate(rows lineclient.Rows) (pages []lineclient.Rows, size int) {
	pageSize := 0
	for _, part := range rows {
		if len(pages) == 0 || pageSize+len(part) > maxPageSize {
			pages = append(pages, nil)
			pageSize = 0
		}
		last := len(pages) - 1
		pages[last] = append(pages[last], part)
		pageSize += len(part)
		size += len(part)
	}
	return pages, size
}
