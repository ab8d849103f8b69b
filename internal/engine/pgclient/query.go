package pgclient

import (
	"flaxrelay/internal/lifecycle"
	"flaxrelay/internal/pgproto"
)

// writeQuery writes the query of the attempt. If the dispatcher does not permit the query,
// writeQuery ends the attempt.
func (c *connection) writeQuery() {
	attempt := c.exchange.attempt
	statement, ok := attempt.Request.Statement.(*pgproto.Statement)
	if !ok || !c.client.Dispatcher.PermitSend(attempt) {
		c.finish(lifecycle.StatusNotSent, lifecycle.AttemptReport{})
		return
	}
	c.exchange.state = exchangeWritten
	c.exchange.prepared = c.statements.prepare(statement)
	c.Write(encodeQuery(statement, c.exchange.prepared))
}

// encodeQuery returns the messages of one query: first a Parse, unless the statement is prepared
// already; then Bind, Describe and Execute, or only a Describe; and last a Sync.
func encodeQuery(statement *pgproto.Statement, prepared preparation) []byte {
	var query []byte
	name := pgproto.CString(prepared.name)
	if prepared.needsParse {
		text := pgproto.CString(statement.Query)
		query = pgproto.AppendMessage(query, pgproto.ClientParse, name, text, statement.ParameterTypes)
	}
	if statement.DescribeOnly {
		query = pgproto.AppendMessage(query, pgproto.ClientDescribe, []byte{pgproto.TargetStatement}, name)
	} else {
		query = appendExecution(query, name, statement.Bind)
	}
	return pgproto.AppendMessage(query, pgproto.ClientSync)
}

// appendExecution appends the messages that run a prepared statement once, with the
// unnamed portal and an unlimited number of rows.
func appendExecution(query, name, bind []byte) []byte {
	const unlimitedRows = 0
	unnamedPortal := pgproto.CString("")
	query = pgproto.AppendMessage(query, pgproto.ClientBind, unnamedPortal, name, bind)
	query = pgproto.AppendMessage(query, pgproto.ClientDescribe, []byte{pgproto.TargetPortal}, unnamedPortal)
	return pgproto.AppendMessage(query, pgproto.ClientExecute, unnamedPortal, pgproto.Int32(unlimitedRows))
}
