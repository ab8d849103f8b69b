package enginetest

import (
	"bytes"
	"io"
	"time"

	"flaxrelay/internal/lifecycle"
)

// servedPrinter is the lifecycle.CostObserver of an Exchange. It prints the reports of served
// attempts. It may be used only on the event loop's goroutine.
type servedPrinter struct {
	print    func(io.Writer, *lifecycle.Request, lifecycle.AttemptReport)
	output   bytes.Buffer // the reports that are not in the transcript yet
	onServed func()       // nil: no call
}

// ObserveServed prints the report of a served attempt.
func (p *servedPrinter) ObserveServed(request *lifecycle.Request, report lifecycle.AttemptReport, _ time.Duration) {
	p.print(&p.output, request, report)
	if p.onServed != nil {
		p.onServed()
	}
}

// ObserveTimeout does nothing: the counters show a timeout.
func (p *servedPrinter) ObserveTimeout(*lifecycle.Request, time.Duration) {}

// Release does nothing: the ObserverData is the same for all requests.
func (p *servedPrinter) Release(*lifecycle.Request) {}
