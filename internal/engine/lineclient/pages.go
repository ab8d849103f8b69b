package lineclient

import (
	"errors"
	"fmt"
	"strconv"
	"unicode/utf8"

	"flaxrelay/internal/config"
	"flaxrelay/internal/lifecycle"
)

const (
	// maxPages bounds the pages of one result.
	maxPages = 64
	// maxResultBytes bounds all pages of one result, which by the protocol has at most 48,000 bytes.
	maxResultBytes = 256 << 10
	// columnsPerRow is the number of columns of every row.
	columnsPerRow = 3
)

// Rows is a complete result: its pages as the engine sent them, each of complete rows.
type Rows [][]byte

var (
	errPageCount      = fmt.Errorf("%w: bad number of pages", errMalformedResponse)
	errPageNumber     = fmt.Errorf("%w: bad page number", errMalformedResponse)
	errMalformedPage  = fmt.Errorf("%w: a page is not made of rows of three columns of text", errMalformedResponse)
	errResultTooLarge = errors.New("a result is larger than the protocol permits")
)

// handleResult stores the first page and requests the others. No row is passed on before
// all pages have arrived: where pages are lost with their engine only the attempt fails,
// and another may still serve the client.
func (c *connection) handleResult(s *stream, r response) error {
	if s.pages != nil {
		c.client.shared.Counters.IncrementByName("engine-connections.duplicate-responses")
		return nil
	}
	text, _ := r.fields.value("batches")
	pages, err := strconv.Atoi(text)
	if err != nil || pages < 0 || pages > maxPages {
		return fmt.Errorf("%w: %.20q", errPageCount, text)
	}
	pages = max(pages, 1)
	if !completeRows(r.body) {
		return errMalformedPage
	}
	work, _ := r.fields.number("cpu")
	s.report.Work = config.FromMilliseconds(max(work, 0))
	s.report.MemoryMB, _ = r.fields.number("used")
	s.report.Load = r.fields.loadReport()
	s.pages = make(Rows, pages)
	s.missingPages = pages
	s.addPage(0, r.body)
	if s.fetchingPages() {
		c.Write(fetchCommands(r.requestID, pages))
	} else {
		c.finish(s, lifecycle.StatusServed)
	}
	return nil
}

// handlePage stores a page past the first.
func (c *connection) handlePage(s *stream, r response) error {
	text, _ := r.fields.value("batch")
	page, err := strconv.Atoi(text)
	switch {
	case err != nil || page < 1 || page >= len(s.pages):
		return fmt.Errorf("%w: %.20q", errPageNumber, text)
	case !completeRows(r.body):
		return errMalformedPage
	case s.pages[page] != nil: // a duplicate
		return nil
	case s.resultBytes+len(r.body) > maxResultBytes:
		return errResultTooLarge
	}
	s.addPage(page, r.body)
	if !s.fetchingPages() {
		c.Write(releaseCommand(r.requestID))
		c.finish(s, lifecycle.StatusServed)
	}
	return nil
}

// addPage copies a page out of the read buffer.
func (s *stream) addPage(page int, body []byte) {
	s.pages[page] = append([]byte{}, body...)
	s.resultBytes += len(body)
	s.missingPages--
}

// completeRows reports whether a page is made of complete rows of text. Prevents
// passing on a page that was corrupted without a change of its length.
func completeRows(page []byte) bool {
	if !utf8.Valid(page) {
		return false
	}
	tabs := 0
	for _, char := range page {
		switch {
		case char == '\t':
			tabs++
		case char == '\n' && tabs != columnsPerRow-1, char == 0, char == '\r':
			return false
		case char == '\n':
			tabs = 0
		}
	}
	return len(page) == 0 || page[len(page)-1] == '\n'
}
