package soak

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

const (
	// repeatDelay is the time from a client's request to the first request of a repeater with the same id. The client's
	// request has arrived by then.
	repeatDelay = 5 * time.Millisecond
	// repeatPause is the pause of a repeater after a rejection.
	repeatPause = time.Millisecond
	// maxRepeatTime limits how long a repeater repeats one id.
	maxRepeatTime = 400 * time.Millisecond
	// repeatWait is how long a repeater waits for a response.
	repeatWait = 2 * time.Second
)

const (
	// repeatStatement is the statement of each request of a repeater. Engines neither report its attempts nor draw
	// random numbers for them, so that a repeater does not change the rest of the run.
	repeatStatement = "SELECT day FROM sales_17.orders WHERE tag = 'repeated'"
	// repeatRow is the only row of its result.
	repeatRow = "repeated\t0\t1\n"
	// repeatWorkTime is how long an engine works on it: longer than a late duplicate of an earlier response takes.
	repeatWorkTime = 2 * duplicateDelay
)

// sentRequest is a request that a client has just sent.
type sentRequest struct {
	id       string
	frontEnd *frontEnd
}

// repeater is a bad client: it sends the id of another client's open request with a statement of its own, again and
// again, until the id is accepted. The response must not contain the rows of the other client.
type repeater struct {
	run    *run
	served int // number of its requests that were served
}

// announce passes a request of a client to the repeater, unless the repeater is busy.
func (r *run) announce(request sentRequest) {
	select {
	case r.sentRequests <- request:
	default:
	}
}

// repeatRequests repeats ids until stop is closed.
func (r *repeater) repeatRequests(stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case request := <-r.run.sentRequests:
			r.repeat(request)
		}
	}
}

// repeat sends requests with an id until one is accepted, or for maxRepeatTime.
func (r *repeater) repeat(request sentRequest) {
	time.Sleep(repeatDelay)
	for startedAt := time.Now(); time.Since(startedAt) < maxRepeatTime; time.Sleep(repeatPause) {
		status, rows, err := r.exchange(request)
		if err != nil {
			return // the front end is down, or has responded with an error without rows
		}
		if status == http.StatusConflict {
			continue
		}
		if status == http.StatusOK {
			r.checkRows(request.id, rows)
		}
		return
	}
}

// exchange sends one request on a new connection and returns the status and the rows of its response.
func (r *repeater) exchange(request sentRequest) (status int, rows [][]string, err error) {
	conn, err := net.DialTimeout("tcp", request.frontEnd.addr, dialTimeout)
	if err != nil {
		return 0, nil, fmt.Errorf("connect: %w", err)
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(repeatWait + responseSlack))
	if _, err := io.WriteString(conn, requestText(request.id, classLookup, repeatStatement, repeatWait)); err != nil {
		return 0, nil, fmt.Errorf("send a request: %w", err)
	}
	reader := client{in: bufio.NewReader(conn)}
	response, body, err := reader.readPage()
	if err != nil {
		return 0, nil, err
	}
	return response.StatusCode, body.Result, nil
}

// checkRows records a violation if the rows of a served request are not those that an engine has made for it.
func (r *repeater) checkRows(id string, rows [][]string) {
	r.served++
	const columns = 3 // as in repeatRow
	if len(rows) == 1 && len(rows[0]) == columns && rows[0][0] == "repeated" {
		return
	}
	r.run.history.addViolation(Violation{
		Rule: RuleCompleteResult, Request: id,
		Detail: fmt.Sprintf("a request with a repeated id got %q, not the row of its own statement", rows),
	})
}
