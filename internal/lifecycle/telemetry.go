package lifecycle

import (
	"context"
	"log/slog"
	"time"

	"flaxrelay/internal/logevent"
	"flaxrelay/internal/metrics"
	"flaxrelay/policy"
)

// telemetry records what happens to requests, attempts and engines. It counts the steps of requests and attempts, and
// at level debug logs each step with the request's ID, so that the log shows why each attempt, retry and rejection
// happened. Ejections and readmissions of engines are always logged.
type telemetry struct {
	clock    Clock
	counters *metrics.Counters
	logger   *slog.Logger
	debug    bool // steps are logged; checked first, because creating the attributes of a step costs time
}

func newTelemetry(clock Clock, counters *metrics.Counters, logger *slog.Logger) telemetry {
	debug := logger.Enabled(context.Background(), slog.LevelDebug)
	return telemetry{clock: clock, counters: counters, logger: logger, debug: debug}
}

// logStep logs a step of a request with the request's ID.
func (t *telemetry) logStep(event logevent.Event, r *Request, fields ...slog.Attr) {
	event.Log(t.logger, append([]slog.Attr{slog.String("request", r.ID)}, fields...)...)
}

// requestAccepted records a new request.
func (t *telemetry) requestAccepted(r *Request) {
	t.counters.Increment(metrics.RequestsAccepted.With(r.Class))
	if t.debug {
		t.logStep(logevent.RequestAccepted, r, slog.String("class", r.Class),
			slog.Duration("time_left", r.Deadline-t.clock.Now()))
	}
}

// requestRejected records that the balancer has rejected a request. The request is nil if it was released.
func (t *telemetry) requestRejected(r *Request, rejection policy.Reject) {
	reason := rejection.Reason.String()
	t.counters.Increment(metrics.Rejections.With(reason))
	if r != nil && t.debug {
		t.logStep(logevent.RequestRejected, r, slog.String("reason", reason),
			slog.Duration("retry_after", rejection.RetryAfter))
	}
}

// requestCompleted records the response to a request.
func (t *telemetry) requestCompleted(r *Request, response *Response) {
	verdict := response.Verdict.String()
	t.counters.Increment(metrics.RequestsCompleted.With(verdict, r.Class))
	if response.DeadlinePassed {
		t.counters.Increment(metrics.RequestsCompletedLate.With(r.Class))
	}
	if t.debug {
		t.logStep(logevent.RequestCompleted, r, slog.String("verdict", verdict),
			slog.Int("attempts", len(r.attempts)))
	}
}

// requestDisconnected records that the client of a pending request has disconnected.
func (t *telemetry) requestDisconnected(r *Request) {
	t.counters.Increment(metrics.RequestsDisconnected.With(r.Class))
	if t.debug {
		t.logStep(logevent.RequestDisconnected, r)
	}
}

// attemptStarted records the latest attempt of a request.
func (t *telemetry) attemptStarted(a *Attempt) {
	r := a.Request
	t.counters.Increment(metrics.AttemptsStarted.With(r.Class))
	if a.index > 0 {
		previous := r.attempts[a.index-1]
		t.counters.Increment(metrics.AttemptsRetried.With(r.Class))
		t.counters.Increment(metrics.AttemptsRetriedAfter.With(previous.endStatus.String()))
	}
	if t.debug {
		t.logStep(logevent.AttemptStarted, r, slog.Int("attempt", a.index),
			slog.String("engine", a.Engine), slog.Duration("timeout", a.Timeout))
	}
}

// attemptEnded records the end of an attempt. engineWarmingUp is whether the engine was warming up when the attempt was
// started.
func (t *telemetry) attemptEnded(a *Attempt, elapsed time.Duration, engineWarmingUp bool) {
	status := a.endStatus.String()
	if t.debug {
		t.logStep(logevent.AttemptEnded, a.Request, slog.Int("attempt", a.index),
			slog.String("engine", a.Engine), slog.String("status", status), slog.Duration("elapsed", elapsed))
	}
	t.counters.Increment(metrics.AttemptsEnded.With(status))
	if engineWarmingUp {
		t.counters.Increment(metrics.AttemptsEndedWarming.With(status))
	}
}

// engineEjected records that the balancer has ejected an engine as an outlier.
func (t *telemetry) engineEjected(ejection policy.EngineEjected) {
	logevent.EngineEjected.Log(t.logger, slog.String("engine", ejection.Engine),
		slog.String("reason", ejection.Reason.String()), slog.Int("in_flight", ejection.InFlight))
}

// engineReadmitted records that the balancer has readmitted an ejected engine.
func (t *telemetry) engineReadmitted(readmission policy.EngineReadmitted) {
	logevent.EngineReadmitted.Log(t.logger, slog.String("engine", readmission.Engine))
}
