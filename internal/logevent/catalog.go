package logevent

import "log/slog"

// Events of the process.
var (
	ServerListening = declare("server.listening", slog.LevelInfo,
		"The front end accepts requests.",
		"addr")
	ServerStartFailed = declare("server.start-failed", slog.LevelError,
		"An error prevents the front end from starting; there is one line for each error.",
		"file", "line", "field", "error")
	ServerDisabled = declare("server.disabled", slog.LevelInfo,
		"No front end was started: the deploy file has no listen address.",
		"reason")
	ShutdownStarted = declare("shutdown.started", slog.LevelInfo,
		"SIGTERM or SIGINT has started the graceful shutdown.")
	MetricsDelta = declare("metrics.delta", slog.LevelInfo,
		"Every 5 s: by how much each counter has changed since the previous line.",
		CounterField)
	ReloadCompleted = declare("reload.completed", slog.LevelInfo,
		"A reload by SIGHUP was carried out.")
	ReloadFailed = declare("reload.failed", slog.LevelWarn,
		"The file of a reload by SIGHUP could not be used; the previous configuration stays in use.",
		"error", "effect")
	ReloadSkipped = declare("reload.skipped", slog.LevelInfo,
		"A reload by SIGHUP was skipped: no part of this configuration can be reloaded.",
		"reason")
	InvariantViolated = declare("invariant.violated", slog.LevelError,
		"An invariant was violated, or a violation was prevented.",
		"rule", "request", "engine", "attempt", "reason", "late", "pending", "counted", "sent", "limit")
)

// Events of discovery.
var (
	EventBusMoved = declare("eventbus.moved", slog.LevelInfo,
		"A reload by SIGHUP named an event bus that the front end was not connected to.",
		"from", "to", "last_event")
	EventBusDisconnected = declare("eventbus.disconnected", slog.LevelWarn,
		"The event bus closed the connection, sent no byte for 2.5 s, violated the protocol or cannot be reached.",
		"bus", "error", "retry_in")
	ConsulRequestFailed = declare("consul.request-failed", slog.LevelWarn,
		"A blocking query failed; the last list stays in use.",
		"consul", "path", "error", "retry_in")
	ConsulInvalidRegistration = declare("consul.invalid-registration", slog.LevelWarn,
		"A registration without id or port was skipped.",
		"consul", "reason")
)

// Events of engines.
var (
	EngineEjected = declare("engine.ejected", slog.LevelInfo,
		"An engine was ejected as an outlier.",
		"engine", "reason", "in_flight")
	EngineReadmitted = declare("engine.readmitted", slog.LevelInfo,
		"An ejected engine serves again.",
		"engine")
	EngineConnectFailed = declare("engine.connect-failed", slog.LevelWarn,
		"A connection to an engine was not established; refused ones and those to PostgreSQL engines are only counted.",
		"engine", "error")
	EngineProtocolError = declare("engine.protocol-error", slog.LevelWarn,
		"A response was malformed or incomplete; its connection was closed, which ended all attempts on it.",
		"engine", "error")
)

// Events of statement statistics.
var (
	ShapesRestored = declare("shapes.restored", slog.LevelInfo,
		"Statement statistics were read from the snapshot.",
		"file", "shapes")
	ShapesSnapshotFailed = declare("shapes.snapshot-failed", slog.LevelWarn,
		"A snapshot could not be written.",
		"file", "error")
	ShapesSnapshotUnreadable = declare("shapes.snapshot-unreadable", slog.LevelWarn,
		"The snapshot could not be read in five attempts; learning starts again from zero.",
		"file", "error")
	ShapesSnapshotUnusable = declare("shapes.snapshot-unusable", slog.LevelWarn,
		"The snapshot is damaged or of another version; it was renamed if possible; learning starts again from zero.",
		"file", "error", "renamed_to", "rename_error")
)

// Events of requests, one for each step of a request.
var (
	RequestAccepted = declare("request.accepted", slog.LevelDebug,
		"A request has arrived completely.",
		"request", "class", "time_left")
	RequestRejected = declare("request.rejected", slog.LevelDebug,
		"The balancer rejected a request.",
		"request", "reason", "retry_after")
	RequestCompleted = declare("request.completed", slog.LevelDebug,
		"A request got its final response.",
		"request", "verdict", "attempts")
	RequestDisconnected = declare("request.disconnected", slog.LevelDebug,
		"The client cancelled or closed its connection before the response.",
		"request")
	AttemptStarted = declare("attempt.started", slog.LevelDebug,
		"An attempt was started.",
		"request", "attempt", "engine", "timeout")
	AttemptEnded = declare("attempt.ended", slog.LevelDebug,
		"An attempt ended.",
		"request", "attempt", "engine", "status", "elapsed")
)
