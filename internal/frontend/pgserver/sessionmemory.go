package pgserver

import (
	"flaxrelay/internal/memorybudget"
	"flaxrelay/internal/pgproto"
)

const (
	// sessionAllowance is how many bytes of statements and bound values each session may keep in any case.
	sessionAllowance = 32 << 10
	// statementOverhead is the memory of a prepared statement or of a portal besides its text, in bytes.
	statementOverhead = 1 << 10
)

// sessionMemory limits the memory that a session keeps between its messages: prepared statements, the values bound to
// portals, and the text of a Query in flight. What exceeds sessionAllowance is reserved in a budget that all sessions
// share, so that a session with many or long statements cannot take the memory for the usual statements of others.
type sessionMemory struct {
	budget *memorybudget.Budget // shared by all sessions
	kept   int                  // bytes
}

// tryKeep adds bytes, and reports whether the budget permits them.
func (m *sessionMemory) tryKeep(bytes int) bool {
	beyond := beyondAllowance(m.kept+bytes) - beyondAllowance(m.kept)
	if beyond > 0 && !m.budget.TryReserve(beyond) {
		return false
	}
	m.kept += bytes
	return true
}

// release removes bytes that tryKeep added.
func (m *sessionMemory) release(bytes int) {
	m.budget.Release(beyondAllowance(m.kept) - beyondAllowance(m.kept-bytes))
	m.kept -= bytes
}

// dropReference removes one reference to a statement that the session keeps, and the statement with the last one.
func (m *sessionMemory) dropReference(s *statement) {
	s.references--
	if s.references == 0 {
		m.release(s.size())
	}
}

// releaseAll removes all bytes at the end of the session.
func (m *sessionMemory) releaseAll() { m.release(m.kept) }

// beyondAllowance returns how many of the kept bytes are reserved in the budget.
func beyondAllowance(kept int) int { return max(kept-sessionAllowance, 0) }

func errSessionMemory() *pgproto.Error {
	return newError(codeOutOfMemory, "sessions keep too many statements; close some, or send shorter ones")
}
