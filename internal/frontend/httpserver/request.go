package httpserver

import (
	"bytes"
	"net/http"
	"strconv"
	"strings"
	"time"
	"unicode/utf8"

	"flaxrelay/internal/config"
	"flaxrelay/internal/lifecycle"
	"flaxrelay/internal/sqltext"
	"flaxrelay/internal/stmtstats"
	"flaxrelay/policy"
)

const (
	requestIDLength         = 16 // hex digits
	maxIdempotencyKeyLength = 64
	maxWait                 = 10 * time.Minute
	maxEstimatedWork        = 24 * time.Hour
	maxEstimatedMemoryMB    = 1e9
)

// requestBuilder builds the dispatcher's requests from those of HTTP clients: it validates their header fields and
// statements, adds estimates, and ensures that no two requests in flight have the same id. It must be used from the
// goroutine of the event loop only.
type requestBuilder struct {
	dispatcher  *lifecycle.Dispatcher
	estimator   *stmtstats.Service // nil: no estimates
	inFlightIDs map[string]struct{}
}

func newRequestBuilder(dispatcher *lifecycle.Dispatcher, estimator *stmtstats.Service) *requestBuilder {
	return &requestBuilder{dispatcher: dispatcher, estimator: estimator, inFlightIDs: map[string]struct{}{}}
}

// addInFlight reserves the id of a request that is passed to the dispatcher, until removeInFlight.
func (b *requestBuilder) addInFlight(id string) { b.inFlightIDs[id] = struct{}{} }

func (b *requestBuilder) removeInFlight(id string) { delete(b.inFlightIDs, id) }

// build returns the dispatcher's request for a statement of the class. The response is passed to client.
func (b *requestBuilder) build(
	className string, request httpRequest, client lifecycle.Client,
) (*lifecycle.Request, *statusError) {
	class, ok := b.dispatcher.Class(className)
	if !ok {
		return nil, &statusError{http.StatusNotFound, "no such class"}
	}
	id, err := b.parseRequestID(request.header[fieldRequestID])
	if err != nil {
		return nil, err
	}
	wait, err := parseWait(request.header[fieldWait])
	if err != nil {
		return nil, err
	}
	retry, hasRetry := request.header[fieldRetry]
	if hasRetry && strings.Trim(retry, "0123456789") != "" {
		return nil, badRequest("Req-Retry: not a number")
	}
	if !utf8.Valid(request.body) || bytes.IndexByte(request.body, 0) >= 0 {
		return nil, badRequest("the statement is no text in UTF-8")
	}
	statement := string(request.body)
	built := &lifecycle.Request{
		ID:          id,
		Class:       className,
		Statement:   statement,
		ClientRetry: retry == "1",
		Client:      client,
		Tenant:      request.header[fieldTenant],
		OrderKey:    request.header[fieldOrderKey],
		// The client's wait starts when the last byte of the request arrives, even if the request is not served until
		// an earlier one on the connection has its response.
		Deadline: request.arrivedAt + wait,
	}
	if err := setClientEstimates(built, request); err != nil {
		return nil, err
	}
	if err := setIdempotencyKey(built, class, request); err != nil {
		return nil, err
	}
	b.estimateStatement(built, statement)
	return built, nil
}

// estimateStatement sets the data set that the statement names and, if there is an estimator, the estimated cost.
func (b *requestBuilder) estimateStatement(request *lifecycle.Request, statement string) {
	if b.estimator != nil {
		b.estimator.EstimateText(request, statement)
		return
	}
	request.Dataset, _ = sqltext.DatasetOf(statement)
}

func (b *requestBuilder) parseRequestID(id string) (string, *statusError) {
	if len(id) != requestIDLength || strings.Trim(id, "0123456789abcdefABCDEF") != "" {
		return "", badRequest("Req-Id: not 16 hex digits")
	}
	// An engine could not distinguish two requests with the same id.
	if _, inFlight := b.inFlightIDs[id]; inFlight {
		return "", &statusError{http.StatusConflict, "Req-Id: a request of this id is open"}
	}
	return id, nil
}

// parseWait reads how long the client waits for its response.
func parseWait(text string) (time.Duration, *statusError) {
	wait, ok := parsePositive(text, milliseconds(maxWait))
	if !ok {
		return 0, badRequest("Req-Wait-Ms: not a number of milliseconds up to %.0f", milliseconds(maxWait))
	}
	return config.FromMilliseconds(wait), nil
}

// setClientEstimates sets the client's estimates of the request's cost, if the request has any.
func setClientEstimates(built *lifecycle.Request, request httpRequest) *statusError {
	if text, given := request.header[fieldWork]; given {
		work, ok := parsePositive(text, milliseconds(maxEstimatedWork))
		if !ok {
			return badRequest("Req-Cost: not a number above 0, up to %.0f", milliseconds(maxEstimatedWork))
		}
		built.EstimatedWork = config.FromMilliseconds(work)
	}
	if text, given := request.header[fieldMemory]; given {
		memoryMB, ok := parsePositive(text, maxEstimatedMemoryMB)
		if !ok {
			return badRequest("Req-Kb: not a number above 0, up to %.0f", maxEstimatedMemoryMB)
		}
		built.EstimatedMemoryMB = memoryMB
	}
	return nil
}

// setIdempotencyKey sets the key of a request whose class needs one. Without the key, engines would not drop a
// duplicate of the request.
func setIdempotencyKey(built *lifecycle.Request, class policy.Class, request httpRequest) *statusError {
	if class.Effect != policy.IdempotentByKey {
		return nil
	}
	key := request.header[fieldIdempotencyKey]
	if !validIdempotencyKey(key) {
		return badRequest("Req-Token: missing or not of 1 to 64 letters, digits, - and _")
	}
	built.IdempotencyKey = key
	return nil
}

// parsePositive reads a number above 0 and up to the maximum.
func parsePositive(text string, maximum float64) (value float64, ok bool) {
	value, err := strconv.ParseFloat(text, 64)
	return value, err == nil && value > 0 && value <= maximum
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

func validIdempotencyKey(key string) bool {
	if key == "" || len(key) > maxIdempotencyKeyLength {
		return false
	}
	for _, b := range []byte(key) {
		letter := b >= 'a' && b <= 'z' || b >= 'A' && b <= 'Z'
		digit := b >= '0' && b <= '9'
		if !letter && !digit && b != '-' && b != '_' {
			return false
		}
	}
	return true
}
