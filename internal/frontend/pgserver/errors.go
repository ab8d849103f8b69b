package pgserver

import (
	"fmt"
	"time"

	"flaxrelay/internal/frontend/clientconn"
	"flaxrelay/internal/lifecycle"
	"flaxrelay/internal/pgproto"
)

// SQLSTATE codes of the server's own errors, named as in PostgreSQL's errcodes.txt.
const (
	codeProtocolViolation          = "08P01"
	codeFeatureNotSupported        = "0A000"
	codeNullValueNotAllowed        = "22004"
	codeInvalidParameterValue      = "22023"
	codeInvalidSQLStatementName    = "26000"
	codeInvalidAuthorization       = "28000"
	codeInvalidCursorName          = "34000"
	codeStatementCompletionUnknown = "40003"
	codeSyntaxError                = "42601"
	codeUndefinedObject            = "42704"
	codeDuplicateCursor            = "42P03"
	codeDuplicatePreparedStatement = "42P05"
	codeInsufficientResources      = "53000"
	codeOutOfMemory                = "53200"
	codeTooManyConnections         = "53300"
	codeProgramLimitExceeded       = "54000"
	codeObjectNotInState           = "55000"
	codeQueryCanceled              = "57014"
	codeAdminShutdown              = "57P01"
	codeSystemError                = "58000"
)

func newError(code, format string, args ...any) *pgproto.Error {
	return &pgproto.Error{Severity: "ERROR", Code: code, Message: fmt.Sprintf(format, args...)}
}

func errMalformed(message string) *pgproto.Error {
	return newError(codeProtocolViolation, "malformed %s message", message)
}

// errCompletionUnknown is the error for a statement that was forwarded and may have run.
func errCompletionUnknown() *pgproto.Error {
	return newError(codeStatementCompletionUnknown, "the statement failed on its way or at its engine; it may have run")
}

// errRejected is the error for a statement that was rejected: it did not run, and a retry is harmless.
func errRejected(retryAfter time.Duration) *pgproto.Error {
	failure := newError(codeInsufficientResources,
		"the engines are busy; the statement was refused, and trying again is harmless")
	if retryAfter > 0 {
		failure.Hint = fmt.Sprintf("Try again in %d ms.", clientconn.CeilMilliseconds(retryAfter))
	}
	return failure
}

// errShuttingDown is the last error of a connection in a graceful shutdown.
func errShuttingDown() *pgproto.Error {
	return newError(codeAdminShutdown, "the gateway is stopping")
}

// responseError returns the error for a final response that is not a completion. Each kind of response has a different
// code; an engine's error on the statement is returned unchanged.
func responseError(response lifecycle.Response) *pgproto.Error {
	engineError, _ := response.ErrorDetail.(*pgproto.Error)
	switch {
	case response.MayHaveHadEffect && engineError == nil:
		// This case comes before DeadlinePassed: the error for a timeout would imply that the statement had no effect.
		return errCompletionUnknown()
	case response.MayHaveHadEffect:
		return engineError
	case response.DeadlinePassed:
		return newError(codeQueryCanceled, "canceling statement due to statement timeout")
	case response.Verdict == lifecycle.VerdictRejected:
		return errRejected(response.RetryAfter)
	case engineError != nil:
		return engineError
	case response.Forwarded:
		return errCompletionUnknown()
	}
	return newError(codeSystemError, "the statement could not be sent to any engine")
}
