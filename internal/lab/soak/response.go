package soak

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"
)

const (
	// responseSlack is how long a client waits after its deadline. A response that arrives later is lost.
	responseSlack = 500 * time.Millisecond
	// maxPages limits the pages of a result that a client reads.
	maxPages = 8
)

// responseBody is the JSON object of a response.
type responseBody struct {
	More   string     `json:"more"` // path of the next page; "": there are no more pages
	Result [][]string `json:"result"`
	Fault  string     `json:"fault"`
}

var errTooManyPages = errors.New("result has too many pages")

// receive reads a response with all of its pages and sets the request's outcome. It returns an error if
// there is no complete response.
func (c *client) receive(r *request) error {
	if err := c.conn.SetDeadline(r.deadline().Add(responseSlack)); err != nil {
		return fmt.Errorf("set the deadline: %w", err)
	}
	var rows [][]string
	for range maxPages {
		response, body, err := c.readPage()
		if err != nil {
			return err
		}
		rows = append(rows, body.Result...)
		if body.More == "" {
			c.classifyResponse(r, response, body, rows)
			if response.Close {
				c.disconnect()
			}
			return nil
		}
		if _, err := fmt.Fprintf(c.conn, "GET %s HTTP/1.1\r\n\r\n", body.More); err != nil {
			return fmt.Errorf("request a page: %w", err)
		}
	}
	return errTooManyPages
}

// readPage reads one page of a response.
func (c *client) readPage() (*http.Response, responseBody, error) {
	response, err := http.ReadResponse(c.in, nil)
	if err != nil {
		return nil, responseBody{}, fmt.Errorf("read a response: %w", err)
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return nil, responseBody{}, fmt.Errorf("read a response: %w", err)
	}
	var body responseBody
	if err := json.Unmarshal(text, &body); err != nil {
		return nil, responseBody{}, fmt.Errorf("response %q: %w", text, err)
	}
	return response, body, nil
}

// classifyResponse checks the complete response to a request and sets the request's outcome.
func (c *client) classifyResponse(req *request, response *http.Response, body responseBody, rows [][]string) {
	req.endedAt = time.Now()
	rejected := response.StatusCode == http.StatusServiceUnavailable ||
		response.StatusCode == http.StatusTooManyRequests || body.Fault == "Busy"
	switch {
	case response.StatusCode == http.StatusOK && body.Fault == "":
		req.outcome = outcomeServed
		if err := checkRows(req.id, rows); err != nil {
			c.report(RuleCompleteResult, req, err.Error())
		}
	case rejected:
		req.outcome = outcomeRejected
		if c.run.settings.retryAfter && response.Header.Get("Srv-Wait-Ms") == "" {
			c.report(RuleRetryAfter, req, "rejected without Retry-After")
		}
	default:
		req.outcome = outcomeFailed
		req.detail = response.Status
	}
}

// report records a violation by the response to a request.
func (c *client) report(rule Rule, r *request, detail string) {
	c.run.history.addViolation(Violation{Rule: rule, Request: r.id, Detail: detail})
}

// checkRows compares the rows of a result with the rows that an engine returns for the request.
func checkRows(requestID string, rows [][]string) error {
	const columns = 3 // as in resultPage
	if len(rows) != pageCount(requestID) {
		return fmt.Errorf("the result has %d rows, want %d", len(rows), pageCount(requestID))
	}
	for i, row := range rows {
		if len(row) != columns || row[0] != requestID || row[1] != strconv.Itoa(i) {
			return fmt.Errorf("row %d of the result is %q, not the row that the engine returned", i, row)
		}
	}
	return nil
}

// classifyMissingResponse sets the outcome of a request without a complete response: it is lost,
// unless the front end was killed.
func (c *client) classifyMissingResponse(r *request, cause error) {
	r.endedAt = time.Now()
	if c.killedAround(r, r.endedAt) {
		r.outcome = outcomeExcused
		return
	}
	r.outcome = outcomeLost
	waited := r.endedAt.Sub(r.sentAt).Round(time.Millisecond)
	r.detail = fmt.Sprintf("%v, %v after the request was sent with a deadline of %v; new connection: %v",
		cause, waited, r.wait, r.newConnection)
}
