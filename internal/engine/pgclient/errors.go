package pgclient

import (
	"errors"
	"fmt"

	"flaxrelay/internal/engine"
	"flaxrelay/internal/lifecycle"
	"flaxrelay/internal/pgproto"
	"flaxrelay/policy"
)

// Protocol errors of an engine. Each of them closes the connection.
var (
	errAuthentication     = errors.New("the engine requests an authentication method that is not supported")
	errOpenTransaction    = errors.New("the engine's ReadyForQuery reports an open transaction")
	errIncompleteResponse = errors.New("a response ends without CommandComplete")
)

// phase is the part of a connection's lifetime in which an unexpected message arrived.
type phase string

const (
	phaseStartup  phase = "during the startup"
	phaseIdle     phase = "on an idle connection"
	phaseResponse phase = "in a response"
)

// unexpectedMessageError is the protocol error of a message that is not valid in this phase.
type unexpectedMessageError struct {
	kind  byte
	phase phase
}

// Error implements error.
func (e *unexpectedMessageError) Error() string {
	return fmt.Sprintf("unexpected message of kind %q %s", e.kind, e.phase)
}

// The severities of an ErrorResponse that this client distinguishes.
const (
	severityError = "ERROR"
	severityFatal = "FATAL" // the engine ends the connection
)

// The SQLSTATE codes that this client uses, under their names in PostgreSQL's documentation.
const (
	sqlStateFeatureNotSupported  = "0A000" // also sent if the result type of a prepared statement has changed
	sqlStateInvalidStatementName = "26000"
	sqlStateOutOfMemory          = "53200"
	sqlStateProgramLimitExceeded = "54000"
	sqlStateQueryCanceled        = "57014"
	sqlStateAdminShutdown        = "57P01"
	sqlStateCannotConnectNow     = "57P03"
)

// classLength is the number of characters of a SQLSTATE class, which is the start of the code.
const classLength = 2

// The SQLSTATE classes of errors that are not caused by the statement itself.
const (
	classConnectionException   = "08"
	classTransactionRollback   = "40"
	classInsufficientResources = "53"
	classOperatorIntervention  = "57"
	classSystemError           = "58"
	classConfigFileError       = "F0"
	classInternalError         = "XX"
)

// statusOf returns the status of an attempt that the engine has ended with an error. If the
// engine lacks resources or shuts down, another engine may serve the statement. An error in the
// statement itself would be the same at every engine.
func statusOf(sqlState string) lifecycle.AttemptStatus {
	switch sqlState {
	case sqlStateCannotConnectNow, sqlStateAdminShutdown: // a statement that was running is rolled back
		return lifecycle.StatusOverloaded
	case sqlStateQueryCanceled:
		return lifecycle.StatusTimeout
	}
	switch sqlState[:classLength] {
	case classInsufficientResources:
		return lifecycle.StatusOverloaded
	case classOperatorIntervention, classConnectionException, classTransactionRollback,
		classSystemError, classInternalError, classConfigFileError:
		return lifecycle.StatusEngineError
	}
	return lifecycle.StatusStatementRejected
}

// errorStatus returns the status of an attempt whose response contains an ErrorResponse. An engine
// that ran out of resources may have changed something outside the transaction, such as a sequence.
// A statement that is not idempotent must therefore not be retried.
func (c *connection) errorStatus(statement *pgproto.Statement) lifecycle.AttemptStatus {
	status := statusOf(c.exchange.errorResponse.Code)
	class, _ := c.client.Dispatcher.Class(c.exchange.attempt.Request.Class)
	if status == lifecycle.StatusOverloaded && class.Effect == policy.NonIdempotent && !statement.DescribeOnly {
		return lifecycle.StatusEngineError
	}
	return status
}

// handleError handles an ErrorResponse. The attempt usually ends when the response is complete. An
// error during the startup or of severity FATAL closes the connection, and the attempt ends with
// the close.
func (c *connection) handleError(body []byte) error {
	response, err := pgproto.ParseError(body)
	if err != nil {
		return fmt.Errorf("read an ErrorResponse: %w", err)
	}
	c.exchange.errorResponse = response
	if c.State() == engine.StateStartup || response.Severity == severityFatal {
		c.Close(c.exchange.fatalStatus())
	}
	return nil
}

// fatalStatus returns the status of the attempt after an error that closes the connection.
func (e *exchange) fatalStatus() lifecycle.AttemptStatus {
	status := statusOf(e.errorResponse.Code)
	written := e.written()
	switch {
	case written && status == lifecycle.StatusTimeout, !written && status == lifecycle.StatusOverloaded:
		return status
	case written: // the statement may have run: the engine may have failed after the commit and before CommandComplete
		return lifecycle.StatusEngineError
	default: // the statement has not run
		return lifecycle.StatusConnectionRefused
	}
}
