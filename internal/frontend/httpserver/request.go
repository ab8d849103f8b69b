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
	"flaxrelay/policy"
)

const (
	requestIDLength         = 16 // hex digits
	maxIdempotencyKeyLength = 64
	maxWait                 = 10 * time.Minute
	maxEstimatedWork        = 24 * time.Hour
	maxEstimatedMemoryMB    = 1e9
)

// newRequest validates the header fields and the statement of a request to a class.
func (c *connection) newRequest(className string, request httpRequest) (*lifecycle.Request, *statusError) {
	class, ok := c.server.dispatcher.Class(className)
	if !ok {
		return nil, &statusError{http.StatusNotFound, "no such class"}
	}
	id, err := c.server.parseRequestID(request)
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
	r := &lifecycle.Request{
		ID: id, Class: className, Statement: statement, ClientRetry: retry == "1", Client: c,
		Tenant: request.header[fieldTenant], OrderKey: request.header[fieldOrderKey],
		// From its last byte, not from its turn behind another request on the connection.
		Deadline: request.arrivedAt + wait,
	}
	if err := setEstimates(r, request); err != nil {
		return nil, err
	}
	if err := setIdempotencyKey(r, class, request); err != nil {
		return nil, err
	}
	if estimator := c.server.options.Estimator; estimator != nil {
		estimator.EstimateText(r, statement)
	} else {
		r.Dataset, _ = sqltext.DatasetOf(statement)
	}
	return r, nil
}

func (s *Server) parseRequestID(request httpRequest) (string, *statusError) {
	id := request.header[fieldRequestID]
	if len(id) != requestIDLength || strings.Trim(id, "0123456789abcdefABCDEF") != "" {
		return "", badRequest("Req-Id: not 16 hex digits")
	}
	// An engine could not distinguish two requests with one id.
	if _, inFlight := s.inFlightIDs[id]; inFlight {
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

// setEstimates reads the client's estimates of the request's cost, if it gives any.
func setEstimates(r *lifecycle.Request, request httpRequest) *statusError {
	if text, ok := request.header[fieldWork]; ok {
		work, ok := parsePositive(text, milliseconds(maxEstimatedWork))
		if !ok {
			return badRequest("Req-Cost: not a number above 0, up to %.0f", milliseconds(maxEstimatedWork))
		}
		r.EstimatedWork = config.FromMilliseconds(work)
	}
	if text, ok := request.header[fieldMemory]; ok {
		memoryMB, ok := parsePositive(text, maxEstimatedMemoryMB)
		if !ok {
			return badRequest("Req-Kb: not a number above 0, up to %.0f", maxEstimatedMemoryMB)
		}
		r.EstimatedMemoryMB = memoryMB
	}
	return nil
}

// setIdempotencyKey reads the key of a request whose class needs one: without it nothing
// would drop a repeat of the request.
func setIdempotencyKey(r *lifecycle.Request, class policy.Class, request httpRequest) *statusError {
	if class.Effect != policy.IdempotentByKey {
		return nil
	}
	key := request.header[fieldIdempotencyKey]
	if !validIdempotencyKey(key) {
		return badRequest("Req-Token: missing or not of 1 to 64 letters, digits, - and _")
	}
	r.IdempotencyKey = key
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
