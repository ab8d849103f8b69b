package pgserver

import (
	"strconv"
	"strings"

	"flaxrelay/internal/pgproto"
	"flaxrelay/internal/sqltext"
	"flaxrelay/internal/stmtstats"
)

// maxNamed bounds the prepared statements, and the portals, of one connection.
const maxNamed = 1000

// statement is a prepared statement.
type statement struct {
	classification
	query          string
	parameterTypes []byte               // as in Parse: their count and object IDs
	empty          bool                 // nothing but space and comments
	parsed         *stmtstats.Statement // nil without an estimator
	description    *pgproto.Result      // nil until an engine has given it
}

// parameterOIDs returns the types of the parameters: those that an engine has described,
// else those that the client gave.
func (s *statement) parameterOIDs() []byte {
	if s.description != nil && len(s.description.ParameterDescription) > countSize {
		return s.description.ParameterDescription[countSize:]
	}
	if len(s.parameterTypes) > countSize {
		return s.parameterTypes[countSize:]
	}
	return nil
}

// portal is a statement with bound values. It runs once: rows that are fetched later come
// from its buffer, also when its engine has shut down meanwhile.
type portal struct {
	statement      *statement
	bind           []byte        // the body of Bind past its names
	binds          sqltext.Binds // the values, within bind
	idempotencyKey string
	result         *pgproto.Result // nil until it has run
	unsentRows     []byte          // DataRow messages
	completed      bool            // its completion was sent
}

// sendRows sends rows of a portal that has run, at most maxRows of them if that is above 0.
func (c *connection) sendRows(p *portal, maxRows int) *pgproto.Error {
	if p.completed && p.result.RowDescription == nil {
		return newError(codeObjectNotInState, "the portal has run and cannot be run again")
	}
	count, size := 0, 0
	for size < len(p.unsentRows) && (maxRows <= 0 || count < maxRows) {
		_, _, rowSize, _ := pgproto.ParseMessage(p.unsentRows[size:], len(p.unsentRows))
		size += rowSize
		count++
	}
	c.output = append(c.output, p.unsentRows[:size]...)
	p.unsentRows = p.unsentRows[size:]
	switch {
	case maxRows > 0 && count == maxRows:
		c.send(pgproto.ServerPortalSuspended)
	case p.result.EmptyQuery:
		c.send(pgproto.ServerEmptyQueryResponse)
		p.completed = true
	default:
		c.send(pgproto.ServerCommandComplete, pgproto.CString(commandTag(p.result, count)))
		p.completed = true
	}
	return nil
}

// commandTag returns the tag of a completion that follows count rows of the result.
func commandTag(result *pgproto.Result, count int) string {
	verb, _, ok := strings.Cut(result.CommandTag, " ")
	if !ok || count == result.RowCount {
		return result.CommandTag
	}
	return verb + " " + strconv.Itoa(count)
}

// reserveRows counts the rows that a portal keeps. A portal past the budget keeps
// nothing, and the batch fails.
func (c *connection) reserveRows(p *portal) {
	if len(p.unsentRows) == 0 || c.server.rowBudget.TryReserve(len(p.unsentRows)) {
		return
	}
	p.unsentRows = nil
	c.sendError(newError(codeOutOfMemory, "open portals hold too many rows; fetch them, or ask for all at once"))
}

func (c *connection) releaseRows(p *portal) {
	c.server.rowBudget.Release(len(p.unsentRows))
}

func (c *connection) dropPortals() {
	for _, p := range c.portals {
		c.releaseRows(p)
	}
	clear(c.portals)
}
