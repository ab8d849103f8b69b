package stmtstats

import "flaxrelay/internal/sqltext"

// inlineSlots is the number of slots that a Statement stores without a separate allocation. Most
// statements have no more.
const inlineSlots = 4

// Statement is one parsed text. It can be used for any number of executions.
type Statement struct {
	text     string
	analysis sqltext.Analysis // without the normal form, which belongs to the analyzer
	slots    [inlineSlots]sqltext.Slot
}

// Parse parses a text.
func (s *Store) Parse(text string) *Statement {
	statement := &Statement{}
	s.parseInto(statement, text)
	return statement
}

// parseInto parses a text into an empty statement.
func (s *Store) parseInto(statement *Statement, text string) {
	statement.text = text
	statement.analysis = *s.analyzer.Analyze(text)
	statement.analysis.Slots = append(statement.slots[:0], statement.analysis.Slots...)
	statement.analysis.NormalForm = nil
}

// Effect returns what the statement may do to stored data, as judged by sqltext.
func (st *Statement) Effect() sqltext.Verdict { return st.analysis.Effect }

// FirstWord returns the first word of the statement, or "(" if it begins with another token.
func (st *Statement) FirstWord() string { return st.analysis.FirstWord }

// MultipleStatements reports whether the text contains more than one statement.
func (st *Statement) MultipleStatements() bool { return st.analysis.MultipleStatements }

// Dataset returns the dataset that the statement's tables belong to. ok is false if it names none.
func (st *Statement) Dataset() (dataset int64, ok bool) {
	return st.analysis.Dataset, st.analysis.HasDataset
}
