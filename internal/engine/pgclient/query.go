package pgclient

import (
	"flaxrelay/internal/lifecycle"
	"flaxrelay/internal/pgproto"
)

// writeQuery sends the statement in one piece: parsed where this connection has not
// prepared it yet, bound, described and executed.
func (c *connection) writeQuery() {
	attempt := c.exchange.attempt
	statement, ok := attempt.Request.Statement.(*pgproto.Statement)
	if !ok || !c.client.shared.Dispatcher.PermitSend(attempt) {
		c.finish(lifecycle.StatusNotSent, lifecycle.AttemptReport{})
		return
	}
	c.exchange.state = queryWritten
	name, query := c.prepare(statement)
	if statement.DescribeOnly {
		query = pgproto.AppendMessage(query, kindDescribe, []byte("S"), name)
	} else {
		query = appendExecution(query, name, statement.Bind)
	}
	c.Write(pgproto.AppendMessage(query, kindSync))
}

// appendExecution adds the messages that run a prepared statement once, with the
// unnamed portal and without a limit of rows.
func appendExecution(query, name, bind []byte) []byte {
	const unnamedPortal, unlimitedRows = "\x00", 0
	query = pgproto.AppendMessage(query, kindBind, []byte(unnamedPortal), name, bind)
	query = pgproto.AppendMessage(query, kindDescribe, []byte("P"+unnamedPortal))
	return pgproto.AppendMessage(query, kindExecute, []byte(unnamedPortal), pgproto.Int32(unlimitedRows))
}
