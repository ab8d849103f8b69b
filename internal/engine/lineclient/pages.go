package lineclient

import (
	"errors"
	"fmt"
	"unicode/utf8"
)

const (
	// maxPages limits the pages of one result.
	maxPages = 64
	// maxResultBytes limits the total size of the pages of one result. The protocol permits at most
	// 48,000 bytes.
	maxResultBytes = 256 << 10
	// columnsPerRow is the number of columns of every row.
	columnsPerRow = 3
)

var (
	errPageCount      = fmt.Errorf("%w: invalid number of pages", errMalformedResponse)
	errPageNumber     = fmt.Errorf("%w: invalid page number", errMalformedResponse)
	errMalformedPage  = fmt.Errorf("%w: a page does not consist of rows with three text columns", errMalformedResponse)
	errResultTooLarge = errors.New("a result is larger than the protocol permits")
)

// Rows is a complete result: its pages as the engine sent them. Each page consists of complete
// rows.
type Rows [][]byte

// partialResult collects the pages of one result.
type partialResult struct {
	pages   Rows // by number; a missing page is nil
	missing int  // number of pages that have not arrived
	bytes   int  // total size of the pages that have arrived
}

// newPartialResult returns a result with this number of pages, all of them missing.
func newPartialResult(pages int) partialResult {
	return partialResult{pages: make(Rows, pages), missing: pages}
}

// has reports whether the page has arrived.
func (r *partialResult) has(page int) bool { return r.pages[page] != nil }

// add stores a missing page. It copies body, which is within the read buffer.
func (r *partialResult) add(page int, body []byte) {
	r.pages[page] = append([]byte{}, body...) // not nil, even if the page is empty
	r.bytes += len(body)
	r.missing--
}

// complete reports whether all pages have arrived.
func (r *partialResult) complete() bool { return r.missing == 0 }

// completeRows reports whether a page consists of complete rows of text. It detects pages that
// were corrupted without a change of their length.
func completeRows(page []byte) bool {
	if !utf8.Valid(page) {
		return false
	}
	tabs := 0
	for _, char := range page {
		switch char {
		case 0, '\r':
			return false
		case '\t':
			tabs++
		case '\n':
			if tabs != columnsPerRow-1 {
				return false
			}
			tabs = 0
		}
	}
	return len(page) == 0 || page[len(page)-1] == '\n'
}
