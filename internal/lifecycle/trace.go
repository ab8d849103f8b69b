package lifecycle

import (
	"context"
	"log/slog"

	"flaxrelay/internal/logevent"
)

// tracer logs the steps of each request, at level debug, under the request's id: the steps
// show why each attempt, retry and rejection happened.
type tracer struct {
	logger  *slog.Logger
	enabled bool // callers check it first, since the attributes of a step cost time
}

func newTracer(logger *slog.Logger) tracer {
	return tracer{logger: logger, enabled: logger.Enabled(context.Background(), slog.LevelDebug)}
}

// step logs a step of a request.
func (t tracer) step(event logevent.Event, r *Request, fields ...slog.Attr) {
	event.Log(t.logger, append([]slog.Attr{slog.String("request", r.ID)}, fields...)...)
}
