package pgserver

import "flaxrelay/internal/pgproto"

// describe serves a Describe. That of a portal is deferred: an Execute is likely to
// follow, and brings the description without a request of its own.
func (c *connection) describe(body []byte) *pgproto.Error {
	kind, name, e := readTarget(body, "Describe")
	if e != nil {
		return e
	}
	if kind == pgproto.TargetPortal {
		p := c.portals[name]
		if p == nil {
			return errNoPortal(name)
		}
		c.deferredDescribe = p
		return nil
	}
	s := c.statements[name]
	if s == nil {
		return errNoStatement(name)
	}
	c.withDescription(s, func() { c.sendStatementDescription(s) })
	return nil
}

// withDescription calls then once an engine has described the statement. It forwards a
// describe request unless the description is known or the statement is empty.
func (c *connection) withDescription(s *statement, then func()) {
	if s.description != nil || s.empty {
		then()
		return
	}
	message := &pgproto.Statement{Query: s.query, ParameterTypes: s.parameterTypes, DescribeOnly: true}
	c.forward(execution{statement: s, message: message, onServed: func(result *pgproto.Result) {
		s.description = result
		then()
	}})
}

func (c *connection) sendStatementDescription(s *statement) {
	if s.description == nil { // an empty statement
		c.send(pgproto.ServerParameterDescription, s.parameterTypes)
		c.sendRowDescription(nil)
		return
	}
	c.send(pgproto.ServerParameterDescription, s.description.ParameterDescription)
	c.sendRowDescription(s.description.RowDescription)
}

// describeDeferred settles the deferred description of a portal once the next message
// shows whether an Execute brings it. Otherwise the description may need a request, for
// which that message waits.
func (c *connection) describeDeferred(kind byte, body []byte) {
	p := c.deferredDescribe
	r := pgproto.Reader{Unread: body}
	if kind == pgproto.ClientExecute && c.portals[r.CString()] == p && p.result == nil && !p.statement.empty {
		return // execute sends it
	}
	c.deferredDescribe = nil
	c.withDescription(p.statement, func() { c.sendPortalDescription(p) })
}

func (c *connection) sendPortalDescription(p *portal) {
	description := p.statement.description
	switch {
	case p.result != nil:
		c.sendRowDescription(p.result.RowDescription)
	case description == nil || description.RowDescription == nil:
		c.sendRowDescription(nil)
	default:
		fields, err := pgproto.ApplyResultFormats(description.RowDescription, p.bind)
		if err != nil {
			c.sendError(errMalformed("RowDescription"))
			return
		}
		c.sendRowDescription(fields)
	}
}

// sendRowDescription sends the body of a RowDescription, or NoData where it is nil.
func (c *connection) sendRowDescription(fields []byte) {
	if fields == nil {
		c.send(pgproto.ServerNoData)
		return
	}
	c.send(pgproto.ServerRowDescription, fields)
}
