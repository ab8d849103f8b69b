package pgclient

import (
	"fmt"

	"flaxrelay/internal/lifecycle"
	"flaxrelay/internal/pgproto"
)

// handleResponse takes one message of the response to a query.
func (c *connection) handleResponse(kind byte, body, whole []byte) error {
	result := c.exchange.result
	switch kind {
	case kindParseComplete:
		if c.exchange.parsedName != "" {
			c.prepared.names[c.exchange.statementKey] = c.exchange.parsedName
		}
	case kindBindComplete:
		c.exchange.state = queryBound
	case kindCloseComplete:
	case kindParameterDescription:
		result.ParameterDescription = append([]byte{}, body...)
	case kindRowDescription:
		result.RowDescription = append([]byte{}, body...)
	case kindNoData:
		result.RowDescription = nil
	case kindDataRow:
		c.addRow(whole)
	case kindCommandComplete:
		tag := pgproto.Reader{Unread: body}
		result.CommandTag, c.exchange.complete = tag.CString(), true
		if !tag.Complete() {
			return fmt.Errorf("%w: CommandComplete", pgproto.ErrMalformed)
		}
	case kindEmptyQueryResponse:
		result.EmptyQuery, c.exchange.complete = true, true
	default:
		return &unexpectedMessageError{kind: kind, phase: phaseResponse}
	}
	return nil
}

// addRow adds a DataRow message to the result, or ends the attempt where there is no
// room for it.
func (c *connection) addRow(row []byte) {
	result := c.exchange.result
	switch {
	case len(result.DataRows)+len(row) > maxResultBytes:
		c.rejectResult(stateProgramLimitExceeded, fmt.Sprintf("the result is larger than %d bytes", maxResultBytes))
		return
	case c.client.bufferedBytes+len(row) > c.client.options.MaxBufferedBytes:
		c.rejectResult(stateOutOfMemory, "the gateway holds too many results")
		return
	}
	result.DataRows = append(result.DataRows, row...)
	result.RowCount++
	c.client.bufferedBytes += len(row)
}

// rejectResult ends an attempt whose response is still coming, and is too large.
func (c *connection) rejectResult(sqlState, message string) {
	attempt := c.exchange.attempt
	c.client.Abandon(attempt)
	detail := &pgproto.Error{Severity: severityError, Code: sqlState, Message: message}
	c.client.shared.Dispatcher.EndAttempt(attempt, lifecycle.StatusResultTooLarge, lifecycle.AttemptReport{ErrorDetail: detail})
}

// completeResponse ends the attempt at the end of its response.
func (c *connection) completeResponse() error {
	statement, _ := c.exchange.attempt.Request.Statement.(*pgproto.Statement)
	failure := c.exchange.errorResponse
	switch {
	case failure != nil && c.forgetStale(failure.Code):
		c.finish(lifecycle.StatusNotSent, lifecycle.AttemptReport{})
	case failure != nil:
		c.finish(c.errorStatus(statement), lifecycle.AttemptReport{ErrorDetail: failure})
	case c.exchange.complete || statement.DescribeOnly && c.exchange.result.ParameterDescription != nil:
		c.finish(lifecycle.StatusServed, lifecycle.AttemptReport{Result: c.exchange.result})
	default:
		return errIncompleteResponse
	}
	return nil
}
