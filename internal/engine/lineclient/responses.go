package lineclient

import (
	"fmt"
	"strconv"

	"flaxrelay/internal/config"
	"flaxrelay/internal/lifecycle"
	"flaxrelay/internal/metrics"
)

// The kinds of response, as the second word of the first line names them.
const (
	wordProgress       = "TELL"  // the request is running or waits at the engine
	wordResult         = "DONE"  // the first page of a result
	wordPage           = "MORE"  // a page past the first
	wordOverloaded     = "WAIT"  // the engine shed the request
	wordError          = "BROKE" // the request failed
	wordDeadlinePassed = "PAST"  // the request's deadline passed before it ran
	wordFit            = "FIT"   // ignored by this client
)

// handle handles one response to the stream's request.
func (s *stream) handle(received response) error {
	switch received.word {
	case wordProgress:
		if kind, value, ok := received.fields.progress(); ok {
			s.conn.client.Dispatcher.ReportProgress(s.attempt, kind, value)
		}
	case wordResult:
		return s.handleResult(received)
	case wordPage:
		return s.handlePage(received)
	case wordOverloaded:
		s.handleFailure(received, lifecycle.StatusOverloaded)
	case wordError:
		s.handleFailure(received, lifecycle.StatusEngineError)
	case wordDeadlinePassed:
		s.handleFailure(received, lifecycle.StatusDeadlinePassed)
	case wordFit:
	default:
		return fmt.Errorf("%w: unknown word %.20q", errMalformedResponse, received.word)
	}
	return nil
}

// handleResult stores the first page and requests the others. No row is passed on before
// all pages have arrived. If pages are lost with their engine, only the attempt fails, and
// another one may still serve the client.
func (s *stream) handleResult(received response) error {
	if s.state == streamFetching {
		s.conn.client.Counters.Increment(metrics.EngineConnectionsDuplicateResponses)
		return nil
	}
	text, _ := received.fields.value("batches")
	pages, err := strconv.Atoi(text)
	if err != nil || pages < 0 || pages > maxPages {
		return fmt.Errorf("%w: %.20q", errPageCount, text)
	}
	if !completeRows(received.body) {
		return errMalformedPage
	}
	work, _ := received.fields.number("cpu")
	s.report.Work = config.FromMilliseconds(max(work, 0))
	s.report.MemoryMB, _ = received.fields.number("used")
	s.report.Load = received.fields.loadReport()
	s.result = newPartialResult(max(pages, 1))
	s.result.add(0, received.body)
	if s.result.complete() {
		s.finish(lifecycle.StatusServed)
		return nil
	}
	s.state = streamFetching
	s.conn.Write(fetchCommands(received.requestID, pages))
	return nil
}

// handlePage stores a page past the first.
func (s *stream) handlePage(received response) error {
	text, _ := received.fields.value("batch")
	page, err := strconv.Atoi(text)
	switch {
	case err != nil || page < 1 || page >= len(s.result.pages):
		return fmt.Errorf("%w: %.20q", errPageNumber, text)
	case !completeRows(received.body):
		return errMalformedPage
	case s.result.has(page): // a duplicate
		return nil
	case s.result.bytes+len(received.body) > maxResultBytes:
		return errResultTooLarge
	}
	s.result.add(page, received.body)
	if s.result.complete() {
		s.conn.Write(releaseCommand(received.requestID))
		s.finish(lifecycle.StatusServed)
	}
	return nil
}

// handleFailure ends an attempt that has no result, or whose pages the engine has lost.
func (s *stream) handleFailure(received response, status lifecycle.AttemptStatus) {
	if s.state == streamFetching {
		status = lifecycle.StatusPagesLost
	}
	s.report.Load = received.fields.loadReport()
	s.finish(status)
}
