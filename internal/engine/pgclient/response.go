package pgclient

import (
	"fmt"

	"flaxrelay/internal/lifecycle"
	"flaxrelay/internal/pgproto"
)

// handleResponse handles one message of the response to a query.
func (c *connection) handleResponse(received message) error {
	result := c.exchange.result
	switch received.kind {
	case pgproto.ServerParseComplete:
		c.statements.markParsed(c.exchange.prepared)
	case pgproto.ServerBindComplete:
		c.exchange.state = exchangeBound
	case pgproto.ServerCloseComplete:
	case pgproto.ServerParameterDescription:
		result.ParameterDescription = append([]byte{}, received.body...)
	case pgproto.ServerRowDescription:
		result.RowDescription = append([]byte{}, received.body...)
	case pgproto.ServerNoData:
		result.RowDescription = nil
	case pgproto.ServerDataRow:
		c.addRow(received.raw)
	case pgproto.ServerCommandComplete:
		tag := pgproto.Reader{Unread: received.body}
		result.CommandTag = tag.CString()
		c.exchange.complete = true
		if !tag.Complete() {
			return fmt.Errorf("%w: CommandComplete", pgproto.ErrMalformed)
		}
	case pgproto.ServerEmptyQueryResponse:
		result.EmptyQuery = true
		c.exchange.complete = true
	default:
		return &unexpectedMessageError{kind: received.kind, phase: phaseResponse}
	}
	return nil
}

// addRow adds a DataRow message to the result, or ends the attempt if the result would exceed
// a limit.
func (c *connection) addRow(row []byte) {
	result := c.exchange.result
	if len(result.DataRows)+len(row) > maxResultBytes {
		c.failTooLarge(sqlStateProgramLimitExceeded, fmt.Sprintf("the result is larger than %d bytes", maxResultBytes))
		return
	}
	if !c.client.resultBudget.TryReserve(len(row)) {
		c.failTooLarge(sqlStateOutOfMemory, "the gateway holds too many results")
		return
	}
	result.DataRows = append(result.DataRows, row...)
	result.RowCount++
}

// failTooLarge cancels a query whose result exceeds a limit, and ends its attempt.
func (c *connection) failTooLarge(sqlState, text string) {
	attempt := c.exchange.attempt
	c.Abandon()
	detail := &pgproto.Error{Severity: severityError, Code: sqlState, Message: text}
	report := lifecycle.AttemptReport{ErrorDetail: detail}
	c.client.Dispatcher.EndAttempt(attempt, lifecycle.StatusResultTooLarge, report)
}

// completeResponse handles the ReadyForQuery that ends a response, and ends the attempt.
func (c *connection) completeResponse() error {
	statement, _ := c.exchange.attempt.Request.Statement.(*pgproto.Statement)
	failure := c.exchange.errorResponse
	// The response to a Describe without an Execute contains no CommandComplete.
	described := statement.DescribeOnly && c.exchange.result.ParameterDescription != nil
	switch {
	case failure != nil && c.forgetStale(failure.Code):
		c.finish(lifecycle.StatusNotSent, lifecycle.AttemptReport{})
	case failure != nil:
		c.finish(c.errorStatus(statement), lifecycle.AttemptReport{ErrorDetail: failure})
	case c.exchange.complete || described:
		c.finish(lifecycle.StatusServed, lifecycle.AttemptReport{Result: c.exchange.result})
	default:
		return errIncompleteResponse
	}
	return nil
}
