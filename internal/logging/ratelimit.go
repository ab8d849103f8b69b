package logging

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

// Limits on the rate at which one event is written.
const (
	eventsPerSecond = 5 // on average
	eventBurst      = 20
)

// maxTrackedEvents limits the number of limiters, and so their memory. The rate of further events is not
// limited, but package logevent declares far fewer events than this.
const maxTrackedEvents = 1000

// suppressedKey is the key of the field that gives the number of suppressed records.
const suppressedKey = "suppressed"

// rateLimitHandler limits how often each event is written, so that a peer cannot fill the log. The
// message of a record identifies its event. After records of an event were suppressed, the next written
// record of this event has a field with their number. Errors are always written. So are records below
// level info, because the log of a request's steps is useful only if it is complete. rateLimitHandler
// is safe for concurrent use.
type rateLimitHandler struct {
	slog.Handler
	limiters *eventLimiters
}

func newRateLimitHandler(next slog.Handler, perSecond rate.Limit, burst int) slog.Handler {
	limiters := &eventLimiters{perSecond: perSecond, burst: burst, byEvent: map[string]*eventLimiter{}}
	return &rateLimitHandler{Handler: next, limiters: limiters}
}

// Handle implements slog.Handler.
func (h *rateLimitHandler) Handle(ctx context.Context, record slog.Record) error {
	if record.Level >= slog.LevelError || record.Level < slog.LevelInfo {
		return h.Handler.Handle(ctx, record)
	}
	allowed, suppressed := h.limiters.allow(record.Message, record.Time)
	if !allowed {
		return nil
	}
	if suppressed > 0 {
		record = record.Clone()
		record.AddAttrs(slog.Int(suppressedKey, suppressed))
	}
	return h.Handler.Handle(ctx, record)
}

// WithAttrs implements slog.Handler. The derived handler shares the limits.
func (h *rateLimitHandler) WithAttrs(attrs []slog.Attr) slog.Handler {
	return &rateLimitHandler{Handler: h.Handler.WithAttrs(attrs), limiters: h.limiters}
}

// WithGroup implements slog.Handler. The derived handler shares the limits.
func (h *rateLimitHandler) WithGroup(name string) slog.Handler {
	return &rateLimitHandler{Handler: h.Handler.WithGroup(name), limiters: h.limiters}
}

// eventLimiters holds one limiter for each event. It is safe for concurrent use.
type eventLimiters struct {
	perSecond rate.Limit
	burst     int

	mu      sync.Mutex // guards byEvent and its limiters
	byEvent map[string]*eventLimiter
}

// eventLimiter is the limiter of one event.
type eventLimiter struct {
	*rate.Limiter
	suppressed int // number of records since the last one that was written
}

// allow reports whether a record of the event may be written, and how many records were suppressed
// since the last one that was written.
func (l *eventLimiters) allow(event string, at time.Time) (allowed bool, suppressed int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	limiter := l.byEvent[event]
	if limiter == nil {
		if len(l.byEvent) >= maxTrackedEvents {
			return true, 0
		}
		limiter = &eventLimiter{Limiter: rate.NewLimiter(l.perSecond, l.burst)}
		l.byEvent[event] = limiter
	}
	if !limiter.AllowN(at, 1) {
		limiter.suppressed++
		return false, 0
	}
	suppressed = limiter.suppressed
	limiter.suppressed = 0
	return true, suppressed
}
