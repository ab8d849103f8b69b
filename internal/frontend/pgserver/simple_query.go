package pgserver

import "flaxrelay/internal/pgproto"

// Parts of messages for a statement without parameters.
var (
	noParameterTypes = []byte{0, 0}             // a count of 0
	emptyBind        = []byte{0, 0, 0, 0, 0, 0} // counts of 0: formats, values, result formats
)

// simpleQuery serves Query messages. It keeps no state between messages: a SET changes the settings of the session,
// which the connection owns.
type simpleQuery struct {
	server   *Server
	settings *sessionSettings
	output   *messageWriter
	memory   *sessionMemory
}

// serve serves a Query with one statement. It returns an execution if an engine has to run the statement.
func (q *simpleQuery) serve(body []byte) (*execution, *pgproto.Error) {
	reader := pgproto.Reader{Unread: body}
	query := reader.CString()
	if !reader.Complete() {
		return nil, errMalformed("Query")
	}
	if value, ok := statementTimeoutValue(query); ok {
		return nil, q.setStatementTimeout(value)
	}
	prepared, failure := q.server.prepare(query, noParameterTypes)
	if failure != nil {
		return nil, failure
	}
	if prepared.empty {
		q.output.message(pgproto.ServerEmptyQueryResponse)
		return nil, nil
	}
	if _, failure = prepared.idempotencyKey(nil); failure != nil {
		return nil, failure
	}
	if !q.memory.tryKeep(len(query)) {
		return nil, errSessionMemory()
	}
	return &execution{
		protocol:  simpleProtocol,
		keptBytes: len(query),
		statement: prepared,
		message:   &pgproto.Statement{Query: query, ParameterTypes: noParameterTypes, Bind: emptyBind},
		onServed: func(result *pgproto.Result) *pgproto.Error {
			q.sendResult(prepared, result)
			return nil
		},
	}, nil
}

// setStatementTimeout executes a SET of statement_timeout, the only SET that the server supports.
func (q *simpleQuery) setStatementTimeout(value string) *pgproto.Error {
	if failure := q.settings.setStatementTimeout(value); failure != nil {
		return failure
	}
	q.output.commandComplete("SET")
	return nil
}

func (q *simpleQuery) sendResult(prepared *statement, result *pgproto.Result) {
	if result.RowDescription != nil {
		q.output.rowDescription(result.RowDescription)
	}
	unnamed := portal{statement: prepared}
	unnamed.setResult(result)
	_ = unnamed.sendRows(q.output, allRows) // fails only for a portal that has run before
}
