package pgserver

import (
	"strconv"
	"strings"

	"flaxrelay/internal/memorybudget"
	"flaxrelay/internal/pgproto"
	"flaxrelay/internal/sqltext"
)

// allRows is the row limit in an Execute that requests all rows. A negative limit also requests all rows.
const allRows = 0

// portalState is the state of a portal.
//
//	state     -> next state  event
//	bound     -> suspended   an engine has returned the result for the first Execute
//	suspended -> suspended   the maximum number of rows has been sent for an Execute
//	suspended -> completed   all rows and the completion have been sent
//	completed -> completed   further Execute: a completion without rows, or an error if the
//	                         statement does not return rows
type portalState uint8

const (
	// portalBound: the portal has not run.
	portalBound portalState = iota
	// portalSuspended: the portal has run, and its completion has not been sent.
	portalSuspended
	// portalCompleted: the completion has been sent.
	portalCompleted
)

// portal is a statement with bound values. It runs once. Rows that are fetched later come from its buffer, even if the
// engine has shut down in the meantime.
type portal struct {
	statement      *statement
	bindBody       []byte        // the body of Bind after its names
	binds          sqltext.Binds // the values, as slices of bindBody; empty without an estimator
	resultFormats  []byte        // format codes of the result's columns, as a slice of bindBody
	idempotencyKey string
	state          portalState
	result         *pgproto.Result // nil in portalBound; its DataRows are moved to unsentRows
	unsentRows     []byte          // DataRow messages
}

// size returns how many bytes of the session's memory the portal keeps.
func (p *portal) size() int { return len(p.bindBody) + statementOverhead }

// newExecution returns the execution of the portal by an engine. The function onServed is called with the result.
func (p *portal) newExecution(onServed func(*pgproto.Result) *pgproto.Error) *execution {
	p.binds.TypeOIDs = p.statement.parameterOIDs()
	return &execution{
		protocol:  extendedProtocol,
		statement: p.statement,
		message: &pgproto.Statement{
			Query:          p.statement.query,
			ParameterTypes: p.statement.parameterTypes,
			Bind:           p.bindBody,
		},
		idempotencyKey: p.idempotencyKey,
		binds:          &p.binds,
		onServed:       onServed,
	}
}

// setResult stores the result of the portal's execution.
func (p *portal) setResult(result *pgproto.Result) {
	p.state = portalSuspended
	p.result = result
	p.unsentRows = result.DataRows
	result.DataRows = nil
}

// sendRows sends rows of a portal that has run. If maxRows is positive, it sends at most maxRows. After exactly maxRows
// rows it sends PortalSuspended, and otherwise the completion.
func (p *portal) sendRows(output *messageWriter, maxRows int) *pgproto.Error {
	if p.state == portalCompleted && p.result.RowDescription == nil {
		return newError(codeObjectNotInState, "the portal has run and cannot be run again")
	}
	rows, count := p.takeRows(maxRows)
	output.dataRows(rows)
	switch {
	case maxRows > allRows && count == maxRows:
		output.message(pgproto.ServerPortalSuspended)
	case p.result.EmptyQuery:
		output.message(pgproto.ServerEmptyQueryResponse)
		p.state = portalCompleted
	default:
		output.commandComplete(commandTag(p.result, count))
		p.state = portalCompleted
	}
	return nil
}

// takeRows removes the next rows from the buffer, and returns the rows and their number. If maxRows is positive, it
// removes at most maxRows.
func (p *portal) takeRows(maxRows int) (rows []byte, count int) {
	size := 0
	// The loop terminates because unsentRows contains only complete messages.
	for size < len(p.unsentRows) && (maxRows <= allRows || count < maxRows) {
		_, _, rowSize, _ := pgproto.ParseMessage(p.unsentRows[size:], len(p.unsentRows))
		size += rowSize
		count++
	}
	rows = p.unsentRows[:size]
	p.unsentRows = p.unsentRows[size:]
	return rows, count
}

// commandTag returns the tag of a completion that follows count rows of the result.
func commandTag(result *pgproto.Result, count int) string {
	verb, _, ok := strings.Cut(result.CommandTag, " ")
	if !ok || count == result.RowCount {
		return result.CommandTag
	}
	return verb + " " + strconv.Itoa(count)
}

// portalSet owns the open portals of a connection. Between two messages, the bytes of the portals' unsent rows are
// reserved in the budget, which all connections share. The session's memory keeps the values bound to the portals.
type portalSet struct {
	byName map[string]*portal
	budget *memorybudget.Budget
	memory *sessionMemory
}

// checkCanOpen returns an error if no portal can be opened under the name.
func (s *portalSet) checkCanOpen(name string) *pgproto.Error {
	if name != "" && s.byName[name] != nil {
		return newError(codeDuplicateCursor, "portal %q already exists", name)
	}
	if len(s.byName) >= maxNamed {
		return newError(codeProgramLimitExceeded, "more than %d portals", maxNamed)
	}
	return nil
}

// open adds a portal, which replaces an unnamed one. It returns an error if the session may not keep the portal.
func (s *portalSet) open(name string, opened *portal) *pgproto.Error {
	s.close(name)
	if !s.memory.tryKeep(opened.size()) {
		return errSessionMemory()
	}
	opened.statement.references++
	s.byName[name] = opened
	return nil
}

// sendFirstRows stores the result of a portal's execution and sends its first rows.
func (s *portalSet) sendFirstRows(
	p *portal, result *pgproto.Result, output *messageWriter, maxRows int,
) *pgproto.Error {
	p.setResult(result)
	if failure := p.sendRows(output, maxRows); failure != nil {
		return failure
	}
	return s.reserve(p)
}

// sendFurtherRows sends further rows of a portal that has run.
func (s *portalSet) sendFurtherRows(p *portal, output *messageWriter, maxRows int) *pgproto.Error {
	s.release(p)
	if failure := p.sendRows(output, maxRows); failure != nil {
		return failure
	}
	return s.reserve(p)
}

// close removes the portal with the name, if there is one.
func (s *portalSet) close(name string) {
	if closed := s.byName[name]; closed != nil {
		s.drop(closed)
		delete(s.byName, name)
	}
}

// closeAll removes all portals.
func (s *portalSet) closeAll() {
	for _, closed := range s.byName {
		s.drop(closed)
	}
	clear(s.byName)
}

// drop releases the memory of a portal that is closed.
func (s *portalSet) drop(closed *portal) {
	s.release(closed)
	s.memory.release(closed.size())
	s.memory.dropReference(closed.statement)
}

// reserve reserves the bytes of a portal's unsent rows. If they exceed the budget, it drops them and returns an error.
func (s *portalSet) reserve(p *portal) *pgproto.Error {
	if len(p.unsentRows) == 0 || s.budget.TryReserve(len(p.unsentRows)) {
		return nil
	}
	p.unsentRows = nil
	return newError(codeOutOfMemory, "open portals hold too many rows; fetch them, or ask for all at once")
}

// release returns the bytes of a portal's unsent rows to the budget.
func (s *portalSet) release(p *portal) {
	s.budget.Release(len(p.unsentRows))
}
