package fake

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"strings"
	"time"
)

// workParts is the number of equal parts into which the execution of a statement is divided. The engine
// reports its progress after each part except the last.
const workParts = 4

// ServeLineProtocol serves the platform's line protocol on a listener until the listener is closed. The
// engine reports its progress on each statement and responds with rows that contain the request.
func ServeLineProtocol(listener net.Listener, work Work, log *slog.Logger) {
	ServeLineEngine(listener, &echoEngine{work: work, log: log})
}

// echoEngine is a LineHandler whose results contain the request.
type echoEngine struct {
	work Work
	log  *slog.Logger
}

// Received implements LineHandler.
func (e *echoEngine) Received(request LineRequest) {
	statement := abbreviate(request.Statement)
	e.log.Info("request received", "id", request.ID, "fields", request.Fields, "statement", statement)
}

// Cancelled implements LineHandler.
func (e *echoEngine) Cancelled(request LineRequest) {
	e.log.Info("request cancelled", "id", request.ID)
}

// Page implements LineHandler. The results have a single page.
func (*echoEngine) Page(string, string) (text string, ok bool) { return "", false }

// Handle implements LineHandler.
func (e *echoEngine) Handle(ctx context.Context, exchange *LineExchange) {
	request := exchange.Request
	duration, memoryMB := e.work(request.Statement)
	for part := 1; part <= workParts; part++ {
		select {
		case <-ctx.Done():
			return
		case <-time.After(duration / workParts):
		}
		if part < workParts {
			progress := fmt.Sprintf("res=p,num=%.2f", float64(part)/workParts)
			exchange.Send(LineMessage(request.ID, MessageProgress, progress, ""))
		}
	}
	cost := fmt.Sprintf("batches=1,cpu=%d,used=%.0f,gauges=util:0.1;queue:0;x1:0;x0:0",
		duration.Milliseconds(), memoryMB)
	if exchange.Finish(func() {}) {
		exchange.Send(LineMessage(request.ID, MessageResult, cost, echoRows(request)))
	}
}

// echoRows returns the rows of a result: one with the fields of the request, and one with the statement. In the
// statement, spaces replace tabs and line breaks.
func echoRows(request LineRequest) string {
	oneLine := strings.NewReplacer("\t", " ", "\n", " ", "\r", " ").Replace(request.Statement)
	return fmt.Sprintf("fields\t%s\ttoy\nstatement\t%s\ttoy\n", request.Fields, oneLine)
}
