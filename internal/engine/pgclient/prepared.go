package pgclient

import (
	"strconv"

	"flaxrelay/internal/pgproto"
)

const (
	// maxPrepared limits the statements that stay prepared on one connection.
	maxPrepared = 32
	// maxPreparedKeyBytes limits the key of a statement that stays prepared. The keys are kept
	// in memory until the connection is closed.
	maxPreparedKeyBytes = 4 << 10
)

// unnamed is the name of the engine's unnamed statement, which the next unnamed Parse replaces.
const unnamed = ""

// preparation states how a query refers to its statement, and whether the query prepares it first.
type preparation struct {
	key        string // see statementKey
	name       string // of the prepared statement; unnamed: the statement does not stay prepared
	needsParse bool   // the query begins with a Parse, because the statement is not prepared yet
}

// preparedStatements are the statements that stay prepared on one connection.
type preparedStatements struct {
	names      map[string]string // names of the prepared statements, by key
	lastNumber int               // number in the name of the latest statement
}

func newPreparedStatements() preparedStatements {
	return preparedStatements{names: map[string]string{}}
}

// statementKey identifies a prepared statement: its text and its parameter types.
func statementKey(statement *pgproto.Statement) string {
	return statement.Query + "\x00" + string(statement.ParameterTypes)
}

// prepare returns the preparation for a query of the statement. A new statement does not stay
// prepared if its key is too long or if maxPrepared statements are prepared already.
func (p *preparedStatements) prepare(statement *pgproto.Statement) preparation {
	key := statementKey(statement)
	if name, ok := p.names[key]; ok {
		return preparation{key: key, name: name}
	}
	if len(p.names) >= maxPrepared || len(key) > maxPreparedKeyBytes {
		return preparation{key: key, name: unnamed, needsParse: true}
	}
	p.lastNumber++
	return preparation{key: key, name: "s" + strconv.Itoa(p.lastNumber), needsParse: true}
}

// markParsed records that the engine has parsed the query's statement.
func (p *preparedStatements) markParsed(prepared preparation) {
	if prepared.needsParse && prepared.name != unnamed {
		p.names[prepared.key] = prepared.name
	}
}

// forget makes the next query of the statement parse it again.
func (p *preparedStatements) forget(prepared preparation) { delete(p.names, prepared.key) }

// forgetStale reports whether the query failed because its statement is stale: an earlier query had
// prepared it, and since then the engine has dropped it, or a table that it refers to has changed.
// If so, forgetStale forgets the statement. The query may then be retried: both errors arrive
// before BindComplete, so the statement has not run.
func (c *connection) forgetStale(sqlState string) bool {
	if c.exchange.prepared.needsParse || c.exchange.state == exchangeBound {
		return false
	}
	if sqlState != sqlStateInvalidStatementName && sqlState != sqlStateFeatureNotSupported {
		return false
	}
	c.statements.forget(c.exchange.prepared)
	return true
}
