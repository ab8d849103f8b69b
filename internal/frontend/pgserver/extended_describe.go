package pgserver

import "flaxrelay/internal/pgproto"

// describe serves a Describe. The description of a statement is sent without waiting for the next message. The
// description of a portal stays pending until the next message arrives. That message is usually the first Execute of
// the portal. The result of the Execute includes the description, so that no separate request to an engine is needed.
func (q *extendedQuery) describe(body []byte) (*execution, *pgproto.Error) {
	kind, name, failure := readTarget(body, "Describe")
	if failure != nil {
		return nil, failure
	}
	if kind == pgproto.TargetPortal {
		described := q.portals.byName[name]
		if described == nil {
			return nil, errNoPortal(name)
		}
		q.pendingDescribe = described
		return nil, nil
	}
	described := q.statements[name]
	if described == nil {
		return nil, errNoStatement(name)
	}
	return q.withDescription(described, func() *pgproto.Error {
		q.sendStatementDescription(described)
		return nil
	})
}

// resolveDescribe sends a pending description, unless the next message is the first Execute of the portal. kind and
// body are those of the next message. If resolveDescribe returns an execution, an engine has to describe the statement
// first, and the next message must wait.
func (q *extendedQuery) resolveDescribe(kind byte, body []byte) (*execution, *pgproto.Error) {
	described := q.pendingDescribe
	if described == nil || q.isFirstExecute(described, kind, body) {
		return nil, nil
	}
	q.pendingDescribe = nil
	return q.withDescription(described.statement, func() *pgproto.Error {
		return q.sendPortalDescription(described)
	})
}

// isFirstExecute reports whether the message is the Execute that runs the portal.
func (q *extendedQuery) isFirstExecute(described *portal, kind byte, body []byte) bool {
	if kind != pgproto.ClientExecute || described.state != portalBound || described.statement.empty {
		return false
	}
	reader := pgproto.Reader{Unread: body}
	return q.portals.byName[reader.CString()] == described
}

// withDescription calls send at once if a description of the statement is known or not needed. Otherwise it returns an
// execution that requests the description and then calls send.
func (q *extendedQuery) withDescription(described *statement, send func() *pgproto.Error) (*execution, *pgproto.Error) {
	if described.description != nil || described.empty {
		return nil, send()
	}
	return &execution{
		protocol:  extendedProtocol,
		statement: described,
		message: &pgproto.Statement{
			Query:          described.query,
			ParameterTypes: described.parameterTypes,
			DescribeOnly:   true,
		},
		onServed: func(result *pgproto.Result) *pgproto.Error {
			described.description = result
			return send()
		},
	}, nil
}

func (q *extendedQuery) sendStatementDescription(described *statement) {
	if described.empty {
		q.output.message(pgproto.ServerParameterDescription, described.parameterTypes)
		q.output.rowDescription(nil)
		return
	}
	q.output.message(pgproto.ServerParameterDescription, described.description.ParameterDescription)
	q.output.rowDescription(described.description.RowDescription)
}

func (q *extendedQuery) sendPortalDescription(described *portal) *pgproto.Error {
	description := described.statement.description
	switch {
	case described.state != portalBound:
		q.output.rowDescription(described.result.RowDescription)
	case description == nil || description.RowDescription == nil:
		q.output.rowDescription(nil)
	default:
		fields, err := pgproto.ApplyResultFormats(description.RowDescription, described.resultFormats)
		if err != nil {
			return errMalformed("RowDescription")
		}
		q.output.rowDescription(fields)
	}
	return nil
}
