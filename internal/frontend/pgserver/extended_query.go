package pgserver

import (
	"bytes"

	"flaxrelay/internal/pgproto"
	"flaxrelay/internal/stmtstats"
)

// parse serves a Parse: it prepares a statement.
func (c *connection) parse(body []byte) *pgproto.Error {
	r := pgproto.Reader{Unread: body}
	name, query := r.CString(), r.CString()
	parameterTypes := r.Unread
	if r.Bytes(oidSize * r.Count()); !r.Complete() {
		return errMalformed("Parse")
	}
	if name != "" && c.statements[name] != nil {
		return newError(codeDuplicatePreparedStatement, "prepared statement %q already exists", name)
	}
	if len(c.statements) >= maxNamed {
		return newError(codeProgramLimitExceeded, "more than %d prepared statements", maxNamed)
	}
	s, e := c.prepare(query, parameterTypes)
	if e != nil {
		return e
	}
	c.statements[name] = s
	c.send(pgproto.ServerParseComplete)
	return nil
}

// prepare reads and classifies a statement. Nothing is sent to an engine.
func (c *connection) prepare(query string, parameterTypes []byte) (*statement, *pgproto.Error) {
	var parsed *stmtstats.Statement
	if estimator := c.server.options.Estimator; estimator != nil {
		parsed = estimator.Parse(query, c.server.options.ReadOnlyFunctions)
	}
	empty, e := checkSupported(query, parsed)
	if e != nil {
		return nil, e
	}
	s := &statement{query: query, parameterTypes: bytes.Clone(parameterTypes), empty: empty}
	if empty {
		return s, nil
	}
	s.classification, e = c.server.classify(query, parsed)
	if e != nil {
		return nil, e
	}
	s.parsed = parsed
	return s, nil
}

// bind serves a Bind: it opens a portal.
func (c *connection) bind(body []byte) *pgproto.Error {
	r := pgproto.Reader{Unread: body}
	name, statementName := r.CString(), r.CString()
	r.Unread = bytes.Clone(r.Unread) // the portal keeps it, and the values lie within
	bind := r.Unread
	binds, ok := readBind(&r)
	if !ok {
		return errMalformed("Bind")
	}
	s := c.statements[statementName]
	switch {
	case s == nil:
		return errNoStatement(statementName)
	case name != "" && c.portals[name] != nil:
		return newError(codeDuplicateCursor, "portal %q already exists", name)
	case len(c.portals) >= maxNamed:
		return newError(codeProgramLimitExceeded, "more than %d portals", maxNamed)
	}
	if e := s.checkValueCount(len(binds.Values)); e != nil {
		return e
	}
	p := &portal{statement: s, bind: bind}
	if s.parsed != nil {
		p.binds = binds
	}
	if !s.empty {
		var e *pgproto.Error
		if p.idempotencyKey, e = s.idempotencyKey(binds.Values); e != nil {
			return e
		}
	}
	if replaced := c.portals[name]; replaced != nil { // the unnamed one
		c.releaseRows(replaced)
	}
	c.portals[name] = p
	c.send(pgproto.ServerBindComplete)
	return nil
}

// checkValueCount compares the number of bound values with the parameters that an engine
// has described, if one has.
func (s *statement) checkValueCount(count int) *pgproto.Error {
	if s.description == nil || len(s.description.ParameterDescription) < countSize {
		return nil
	}
	r := pgproto.Reader{Unread: s.description.ParameterDescription}
	if required := r.Count(); required != count {
		return newError(codeProtocolViolation, "bind message supplies %d parameters, but the prepared statement requires %d", count, required)
	}
	return nil
}

// execute serves an Execute: it runs a portal, or sends further rows of one that has run.
func (c *connection) execute(body []byte) *pgproto.Error {
	describe := c.deferredDescribe != nil
	c.deferredDescribe = nil
	r := pgproto.Reader{Unread: body}
	name, maxRows := r.CString(), r.Int32()
	if !r.Complete() {
		return errMalformed("Execute")
	}
	p := c.portals[name]
	switch {
	case p == nil:
		return errNoPortal(name)
	case p.statement.empty:
		c.send(pgproto.ServerEmptyQueryResponse)
		return nil
	case p.result != nil:
		c.releaseRows(p)
		e := c.sendRows(p, maxRows)
		c.reserveRows(p)
		return e
	}
	c.runPortal(p, maxRows, describe)
	return nil
}

func (c *connection) runPortal(p *portal, maxRows int, describe bool) {
	s := p.statement
	message := &pgproto.Statement{Query: s.query, ParameterTypes: s.parameterTypes, Bind: p.bind}
	p.binds.TypeOIDs = s.parameterOIDs()
	onServed := func(result *pgproto.Result) {
		p.result, p.unsentRows = result, result.DataRows
		result.DataRows = nil
		if describe {
			c.sendRowDescription(result.RowDescription)
		}
		_ = c.sendRows(p, maxRows) // a portal's first run never fails
		c.reserveRows(p)
	}
	c.forward(execution{statement: s, message: message, idempotencyKey: p.idempotencyKey, binds: &p.binds, onServed: onServed})
}

// closeNamed serves a Close of a statement or a portal.
func (c *connection) closeNamed(body []byte) *pgproto.Error {
	kind, name, e := readTarget(body, "Close")
	if e != nil {
		return e
	}
	if kind == pgproto.TargetStatement {
		delete(c.statements, name)
	} else if p := c.portals[name]; p != nil {
		c.releaseRows(p)
		delete(c.portals, name)
	}
	c.send(pgproto.ServerCloseComplete)
	return nil
}

// readTarget reads a message that names a statement or a portal.
func readTarget(body []byte, message string) (kind byte, name string, e *pgproto.Error) {
	r := pgproto.Reader{Unread: body}
	kind, name = r.Byte(), r.CString()
	if !r.Complete() || kind != pgproto.TargetStatement && kind != pgproto.TargetPortal {
		return 0, "", errMalformed(message)
	}
	return kind, name, nil
}

func errNoStatement(name string) *pgproto.Error {
	return newError(codeInvalidSQLStatementName, "prepared statement %q does not exist", name)
}

func errNoPortal(name string) *pgproto.Error {
	return newError(codeInvalidCursorName, "portal %q does not exist", name)
}
