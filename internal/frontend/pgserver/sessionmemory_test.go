package pgserver

import (
	"testing"

	"flaxrelay/internal/memorybudget"
)

// Guards against bytes of statements and portals that stay reserved, or are released too early, in any order in which
// they are closed: a portal keeps its statement.
func TestSessionMemory_ReleasesWhatIsClosed(t *testing.T) {
	const textSize = 2 * sessionAllowance
	for name, end := range map[string]func(q *extendedQuery){
		"statement, then portal": func(q *extendedQuery) {
			q.dropStatement("s")
			if q.memory.kept < textSize {
				t.Errorf("%d bytes are kept, but an open portal needs the statement", q.memory.kept)
			}
			q.portals.close("p")
		},
		"portal, then statement": func(q *extendedQuery) {
			q.portals.closeAll()
			q.dropStatement("s")
		},
		"end of the session": func(q *extendedQuery) { q.memory.releaseAll() },
	} {
		t.Run(name, func(t *testing.T) {
			budget := memorybudget.New(2 * textSize)
			memory := &sessionMemory{budget: &budget}
			prepared := &statement{query: string(make([]byte, textSize)), references: 1}
			if !memory.tryKeep(prepared.size()) {
				t.Fatal("the statement exceeds the budget")
			}
			q := &extendedQuery{
				statements: map[string]*statement{"s": prepared}, memory: memory,
				portals: portalSet{byName: map[string]*portal{}, budget: &memorybudget.Budget{}, memory: memory},
			}
			if failure := q.portals.open("p", &portal{statement: prepared}); failure != nil {
				t.Fatal(failure)
			}
			if memory.tryKeep(2 * textSize) {
				t.Error("more is kept than the budget permits")
			}
			end(q)
			if memory.kept != 0 || !budget.TryReserve(2*textSize) {
				t.Errorf("%d bytes are kept, or the budget is still in use", memory.kept)
			}
		})
	}
}
