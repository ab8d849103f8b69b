package pgserver

import (
	"bytes"

	"flaxrelay/internal/pgproto"
)

// maxNamed limits the number of prepared statements, and the number of portals, of one connection.
const maxNamed = 1000

// extendedQuery serves the messages of the extended query protocol. It owns the prepared statements and the portals of
// a connection, and the pending description of a portal.
//
//	state   -> next state  event
//	none    -> pending     Describe of a portal
//	pending -> none        first Execute of this portal; its result includes the description
//	pending -> none        any other message; the description is sent before it is served
type extendedQuery struct {
	server     *Server
	output     *messageWriter
	statements map[string]*statement
	portals    portalSet
	memory     *sessionMemory
	// pendingDescribe is the portal whose description has not been sent yet: the next message may be the portal's first
	// Execute, whose result includes the description. pendingDescribe is nil if no description is pending.
	pendingDescribe *portal
}

// serve serves one message. It returns an execution if the message needs an engine.
func (q *extendedQuery) serve(kind byte, body []byte) (*execution, *pgproto.Error) {
	switch kind {
	case pgproto.ClientParse:
		return nil, q.parse(body)
	case pgproto.ClientBind:
		return nil, q.bind(body)
	case pgproto.ClientDescribe:
		return q.describe(body)
	case pgproto.ClientExecute:
		return q.execute(body)
	case pgproto.ClientClose:
		return nil, q.closeTarget(body)
	}
	// A Flush requires no action, since all output is written in any case. Copy data is ignored, since its COPY was
	// rejected.
	return nil, nil
}

// sync ends the implicit transaction of a batch, and thereby closes all portals.
func (q *extendedQuery) sync() {
	q.portals.closeAll()
}

// parse prepares a statement.
func (q *extendedQuery) parse(body []byte) *pgproto.Error {
	reader := pgproto.Reader{Unread: body}
	name := reader.CString()
	query := reader.CString()
	parameterTypes := reader.Unread
	reader.Bytes(oidSize * reader.Count())
	if !reader.Complete() {
		return errMalformed("Parse")
	}
	if name != "" && q.statements[name] != nil {
		return newError(codeDuplicatePreparedStatement, "prepared statement %q already exists", name)
	}
	if len(q.statements) >= maxNamed {
		return newError(codeProgramLimitExceeded, "more than %d prepared statements", maxNamed)
	}
	q.dropStatement(name) // an unnamed statement is replaced
	prepared, failure := q.server.prepare(query, parameterTypes)
	if failure != nil {
		return failure
	}
	if !q.memory.tryKeep(prepared.size()) {
		return errSessionMemory()
	}
	prepared.references++
	q.statements[name] = prepared
	q.output.message(pgproto.ServerParseComplete)
	return nil
}

// dropStatement removes the statement with the name, if there is one. Portals that are open keep it.
func (q *extendedQuery) dropStatement(name string) {
	if dropped := q.statements[name]; dropped != nil {
		q.memory.dropReference(dropped)
		delete(q.statements, name)
	}
}

// bind opens a portal.
func (q *extendedQuery) bind(body []byte) *pgproto.Error {
	reader := pgproto.Reader{Unread: body}
	name := reader.CString()
	statementName := reader.CString()
	reader.Unread = bytes.Clone(reader.Unread) // the portal keeps the copy, and the values are slices of it
	bindBody := reader.Unread
	binds, resultFormats, ok := readBind(&reader)
	if !ok {
		return errMalformed("Bind")
	}
	prepared := q.statements[statementName]
	if prepared == nil {
		return errNoStatement(statementName)
	}
	if failure := q.portals.checkCanOpen(name); failure != nil {
		return failure
	}
	if failure := prepared.checkValueCount(len(binds.Values)); failure != nil {
		return failure
	}
	opened := &portal{statement: prepared, bindBody: bindBody, resultFormats: resultFormats}
	if prepared.parsed != nil { // only the estimator reads the values
		opened.binds = binds
	}
	if !prepared.empty {
		key, failure := prepared.idempotencyKey(binds.Values)
		if failure != nil {
			return failure
		}
		opened.idempotencyKey = key
	}
	if failure := q.portals.open(name, opened); failure != nil {
		return failure
	}
	q.output.message(pgproto.ServerBindComplete)
	return nil
}

// execute runs a portal, or sends further rows of a portal that has run.
func (q *extendedQuery) execute(body []byte) (*execution, *pgproto.Error) {
	// A description that is still pending belongs to the portal that this Execute runs: resolveDescribe has sent any
	// other description.
	describePending := q.pendingDescribe != nil
	q.pendingDescribe = nil
	reader := pgproto.Reader{Unread: body}
	name := reader.CString()
	maxRows := reader.Int32()
	if !reader.Complete() {
		return nil, errMalformed("Execute")
	}
	executed := q.portals.byName[name]
	switch {
	case executed == nil:
		return nil, errNoPortal(name)
	case executed.statement.empty:
		q.output.message(pgproto.ServerEmptyQueryResponse)
		return nil, nil
	case executed.state != portalBound:
		return nil, q.portals.sendFurtherRows(executed, q.output, maxRows)
	}
	sendRows := func(result *pgproto.Result) *pgproto.Error {
		return q.portals.sendFirstRows(executed, result, q.output, maxRows)
	}
	if !describePending {
		return executed.newExecution(sendRows), nil
	}
	return executed.newExecution(func(result *pgproto.Result) *pgproto.Error {
		q.output.rowDescription(result.RowDescription)
		return sendRows(result)
	}), nil
}

// closeTarget closes a statement or a portal.
func (q *extendedQuery) closeTarget(body []byte) *pgproto.Error {
	kind, name, failure := readTarget(body, "Close")
	if failure != nil {
		return failure
	}
	if kind == pgproto.TargetStatement {
		q.dropStatement(name)
	} else {
		q.portals.close(name)
	}
	q.output.message(pgproto.ServerCloseComplete)
	return nil
}

// readTarget reads a message that names a statement or a portal.
func readTarget(body []byte, message string) (kind byte, name string, failure *pgproto.Error) {
	reader := pgproto.Reader{Unread: body}
	kind = reader.Byte()
	name = reader.CString()
	if !reader.Complete() || kind != pgproto.TargetStatement && kind != pgproto.TargetPortal {
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
