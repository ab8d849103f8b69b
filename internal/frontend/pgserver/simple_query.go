package pgserver

import (
	"flaxrelay/internal/pgproto"
)

// Parts of messages for a statement without parameters.
var (
	noParameterTypes = []byte{0, 0}
	emptyBind        = make([]byte, 6) // no formats, no values, no result formats
)

// query serves a Query of one statement.
func (c *connection) query(body []byte) *pgproto.Error {
	c.simpleQuery = true
	r := pgproto.Reader{Unread: body}
	query := r.CString()
	if !r.Complete() {
		return errMalformed("Query")
	}
	if done, e := c.applySetting(query); done || e != nil {
		return e
	}
	s, e := c.prepare(query, noParameterTypes)
	if e != nil {
		return e
	}
	if s.empty {
		c.send(pgproto.ServerEmptyQueryResponse)
		c.endSimpleQuery()
		return nil
	}
	if _, e = s.idempotencyKey(nil); e != nil {
		return e
	}
	message := &pgproto.Statement{Query: query, ParameterTypes: noParameterTypes, Bind: emptyBind}
	c.forward(execution{statement: s, message: message, onServed: func(result *pgproto.Result) {
		if result.RowDescription != nil {
			c.sendRowDescription(result.RowDescription)
		}
		_ = c.sendRows(&portal{statement: s, result: result, unsentRows: result.DataRows}, 0) // a new portal never fails
		c.endSimpleQuery()
	}})
	return nil
}

// endSimpleQuery ends the answer to a Query.
func (c *connection) endSimpleQuery() {
	c.simpleQuery = false
	c.sendReady()
}
