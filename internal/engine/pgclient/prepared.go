package pgclient

import (
	"strconv"

	"flaxrelay/internal/pgproto"
)

const (
	// maxPrepared bounds the statements that stay prepared on one connection.
	maxPrepared = 32
	// maxPreparedKeyBytes bounds each of them: their texts are kept.
	maxPreparedKeyBytes = 4 << 10
)

// preparedStatements are the statements that stay prepared on one connection.
type preparedStatements struct {
	names    map[string]string // by key
	lastName int               // number of the last name that was given
}

func newPreparedStatements() preparedStatements {
	return preparedStatements{names: map[string]string{}}
}

// statementKey identifies a prepared statement: its text and its parameter types.
func statementKey(statement *pgproto.Statement) string {
	return statement.Query + "\x00" + string(statement.ParameterTypes)
}

// newName returns a name for a statement that is not prepared yet, or "" where it is
// not to stay prepared: it is long, or there are enough already.
func (p *preparedStatements) newName(key string) string {
	if len(p.names) >= maxPrepared || len(key) > maxPreparedKeyBytes {
		return ""
	}
	p.lastName++
	return "s" + strconv.Itoa(p.lastName)
}

// prepare returns the name of the exchange's statement, and a Parse message if the
// statement is not prepared on this connection yet.
func (c *connection) prepare(statement *pgproto.Statement) (name, message []byte) {
	key := statementKey(statement)
	c.exchange.statementKey = key
	if known, ok := c.prepared.names[key]; ok {
		return pgproto.CString(known), nil
	}
	c.exchange.parsedName = c.prepared.newName(key)
	name = pgproto.CString(c.exchange.parsedName)
	return name, pgproto.AppendMessage(nil, kindParse, name, pgproto.CString(statement.Query), statement.ParameterTypes)
}

// forgetStale reports whether an error concerns a statement that was prepared by an
// earlier query: the engine has dropped it, or what it refers to has changed. Both show
// before BindComplete, so nothing has run. The statement is forgotten, since it may well
// run once it is parsed again.
func (c *connection) forgetStale(sqlState string) bool {
	_, reused := c.prepared.names[c.exchange.statementKey]
	if !reused || c.exchange.state == queryBound || c.exchange.parsedName != "" {
		return false
	}
	if sqlState != stateInvalidStatementName && sqlState != stateFeatureNotSupported {
		return false
	}
	delete(c.prepared.names, c.exchange.statementKey)
	return true
}
