package pgclient

import (
	"errors"
	"fmt"

	"flaxrelay/internal/engine"
	"flaxrelay/internal/lifecycle"
	"flaxrelay/internal/pgproto"
	"flaxrelay/policy"
)

// Protocol errors of an engine. Each of them closes its connection.
var (
	errAuthentication     = errors.New("the engine wants a kind of authentication that is not supported")
	errOpenTransaction    = errors.New("the session is left in a transaction")
	errIncompleteResponse = errors.New("a response ends without a CommandComplete")
)

// phase is a part of a connection's lifetime in which only some messages are valid.
type phase string

const (
	phaseStartup  phase = "during the startup"
	phaseIdle     phase = "on an idle connection"
	phaseResponse phase = "in a response"
)

// unexpectedMessageError is the protocol error of a message at the wrong time.
type unexpectedMessageError struct {
	kind  byte
	phase phase
}

func (e *unexpectedMessageError) Error() string {
	return fmt.Sprintf("message %q %s", e.kind, e.phase)
}

// The severities of an ErrorResponse that matter here.
const (
	severityError = "ERROR"
	severityFatal = "FATAL" // the engine ends the connection
)

// The SQLSTATE codes that matter here, by their names in PostgreSQL's documentation.
const (
	stateFeatureNotSupported  = "0A000" // among others, the result type of a prepared statement has changed
	stateInvalidStatementName = "26000"
	stateOutOfMemory          = "53200"
	stateProgramLimitExceeded = "54000"
	stateQueryCanceled        = "57014"
	stateAdminShutdown        = "57P01"
	stateCannotConnectNow     = "57P03"
)

// The SQLSTATE classes, the first two characters of a code, of errors that are not caused by
// the statement itself.
const (
	classLength                = 2
	classConnectionException   = "08"
	classTransactionRollback   = "40"
	classInsufficientResources = "53"
	classOperatorIntervention  = "57"
	classSystemError           = "58"
	classConfigFileError       = "F0"
	classInternalError         = "XX"
)

// statusOf returns how an engine's error ends an attempt. After a lack of resources at the
// engine, or its shutdown, another engine may serve the statement. An error of the statement
// itself would be the same at every engine.
func statusOf(sqlState string) lifecycle.AttemptStatus {
	switch sqlState {
	case stateCannotConnectNow, stateAdminShutdown: // a statement that was running is rolled back
		return lifecycle.StatusOverloaded
	case stateQueryCanceled:
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

// errorStatus returns how the engine's error ends the attempt. An engine that ran out of
// resources may have changed something outside its transaction, such as a sequence. A statement
// that is not idempotent is therefore not retried.
func (c *connection) errorStatus(statement *pgproto.Statement) lifecycle.AttemptStatus {
	status := statusOf(c.exchange.errorResponse.Code)
	class, _ := c.client.Dispatcher.Class(c.exchange.attempt.Request.Class)
	if status == lifecycle.StatusOverloaded && class.Effect == policy.NonIdempotent && !statement.DescribeOnly {
		return lifecycle.StatusEngineError
	}
	return status
}

// handleError handles an ErrorResponse. The attempt ends with it at the end of the response, or
// at once if the engine closes the connection after it.
func (c *connection) handleError(body []byte) error {
	response, err := pgproto.ParseError(body)
	if err != nil {
		return fmt.Errorf("read an ErrorResponse: %w", err)
	}
	c.exchange.errorResponse = response
	if c.State() == engine.StateStartup || response.Severity == severityFatal {
		c.Close(c.fatalStatus())
	}
	return nil
}

// fatalStatus returns how an error that ends the connection ends its attempt.
func (c *connection) fatalStatus() lifecycle.AttemptStatus {
	status := statusOf(c.exchange.errorResponse.Code)
	written := c.exchange.written()
	switch {
	case !written && status != lifecycle.StatusOverloaded: // the statement has not run
		return lifecycle.StatusConnectionRefused
	case written && status != lifecycle.StatusTimeout:
		// The statement may have run, for instance between its commit and CommandComplete.
		return lifecycle.StatusEngineError
	}
	return status
}
