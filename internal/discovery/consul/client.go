package consul

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"
)

const (
	// maxResponseSize limits the body of a response, in bytes.
	maxResponseSize = 8 << 20
	// queryWait is the wait parameter of a blocking query: how long Consul waits for a change.
	queryWait = 30 * time.Second
	// queryWaitMargin is how much longer than queryWait a query may take, because Consul adds jitter to
	// the wait.
	queryWaitMargin = 5 * time.Second
	// maxErrorText limits how much of the body of an error response is logged, in characters.
	maxErrorText = 100
)

// indexHeader is the response header that contains the index for the next query.
const indexHeader = "X-Consul-Index"

var errResponseTooLarge = errors.New("response too large")

// statusError is a response whose status is not 200.
type statusError struct {
	Status string
	Body   string // up to maxErrorText characters
}

// Error implements error.
func (e *statusError) Error() string { return fmt.Sprintf("status %s: %s", e.Status, e.Body) }

// client makes blocking queries to Consul's HTTP API. It is safe for concurrent use.
type client struct {
	http *http.Client
}

func newClient() *client {
	return &client{http: &http.Client{Transport: &http.Transport{Proxy: nil}}}
}

func (c *client) closeIdleConnections() { c.http.CloseIdleConnections() }

// query makes one blocking query. It blocks until Consul's index differs from the given index or
// queryWait has passed. It decodes the body of the response into list and returns the index of the response.
func (c *client) query(
	ctx context.Context, opts Options, path string, index uint64, list any,
) (received uint64, err error) {
	ctx, cancel := context.WithTimeout(ctx, queryWait+queryWaitMargin)
	defer cancel()
	req, err := newRequest(ctx, opts, path, index)
	if err != nil {
		return 0, err
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return 0, fmt.Errorf("send the query: %w", err)
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := readBody(resp)
	if err != nil {
		return 0, err
	}
	received, err = parseIndex(resp.Header)
	if err != nil {
		return 0, err
	}
	if err := json.Unmarshal(body, list); err != nil {
		return 0, fmt.Errorf("decode the response: %w", err)
	}
	return received, nil
}

// parseIndex returns the index of a response.
func parseIndex(header http.Header) (uint64, error) {
	index, err := strconv.ParseUint(header.Get(indexHeader), 10, 64)
	if err != nil {
		return 0, fmt.Errorf("%s: %w", indexHeader, err)
	}
	return index, nil
}

func newRequest(ctx context.Context, opts Options, path string, index uint64) (*http.Request, error) {
	parameters := url.Values{
		"index": {strconv.FormatUint(index, 10)},
		"wait":  {queryWait.String()},
	}
	target := url.URL{
		Scheme:   "http",
		Host:     opts.Address,
		Path:     path + opts.Service,
		RawQuery: parameters.Encode(),
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, target.String(), nil)
	if err != nil {
		return nil, fmt.Errorf("make the query: %w", err)
	}
	if opts.Token != "" {
		req.Header.Set("X-Consul-Token", opts.Token)
	}
	return req, nil
}

// readBody returns the body of a response with status 200.
func readBody(resp *http.Response) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseSize+1))
	switch {
	case err != nil:
		return nil, fmt.Errorf("read the response: %w", err)
	case len(body) > maxResponseSize:
		return nil, fmt.Errorf("%w: more than %d bytes", errResponseTooLarge, maxResponseSize)
	case resp.StatusCode != http.StatusOK:
		text := strings.TrimSpace(string(body))
		return nil, &statusError{Status: resp.Status, Body: fmt.Sprintf("%.*s", maxErrorText, text)}
	}
	return body, nil
}
