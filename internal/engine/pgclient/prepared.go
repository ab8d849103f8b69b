package pgclient

import (
	"strconv"

	"flaxrelay/internal/pgproto"
)

const (
	// maxPrepared limits the statements that stay prepared on one connection.
	maxPrepared = 32
	// maxPreparedKeyBytes limits the key of each of them, which is retained.
	maxPreparedKeyBytes = 4 << 10
)

// unnamed is the name of the statement that the next Parse without a name replaces.
const unnamed = ""

// preparation is how a query refers to its statement.
type preparation struct {
	key   string // of the statement, see statementKey
	name  string // of the prepared statement; unnamed: it does not stay prepared
	parse bool   // the query begins with a Parse, as the statement was not prepared before
}

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

// prepare returns how a query is to refer to the statement. A new statement does not stay
// prepared if it is long or if there are maxPrepared already.
func (p *preparedStatements) prepare(statement *pgproto.Statement) preparation {
	key := statementKey(statement)
	if known, ok := p.names[key]; ok {
		return preparation{key: key, name: known}
	}
	if len(p.names) >= maxPrepared || len(key) > maxPreparedKeyBytes {
		return preparation{key: key, name: unnamed, parse: true}
	}
	p.lastName++
	return preparation{key: key, name: "s" + strconv.Itoa(p.lastName), parse: true}
}

// parsed records that the engine has parsed the statement.
func (p *preparedStatements) parsed(statement preparation) {
	if statement.parse && statement.name != unnamed {
		p.names[statement.key] = statement.name
	}
}

// forget records that a prepared statement is no longer valid.
func (p *preparedStatements) forget(statement preparation) { delete(p.names, statement.key) }

// forgetStale reports whether an error concerns a statement that an earlier query prepared:
// the engine has dropped it, or what it refers to has changed. Both errors come before
// BindComplete, so nothing has run. The statement is then forgotten, since it may well run
// once it is parsed again.
func (c *connection) forgetStale(sqlState string) bool {
	if c.exchange.prepared.parse || c.exchange.state == exchangeBound {
		return false
	}
	if sqlState != stateInvalidStatementName && sqlState != stateFeatureNotSupported {
		return false
	}
	c.statements.forget(c.exchange.prepared)
	return true
}
