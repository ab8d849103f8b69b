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

// Parse parses a text without classifying it, so that its Effect is unknown and its FirstWord is empty.
func (s *Store) Parse(text string) *Statement {
	statement := &Statement{}
	statement.set(text, s.analyzer.Analyze(text))
	return statement
}

// set initializes an empty statement with a text and a copy of its analysis.
func (st *Statement) set(text string, analysis *sqltext.Analysis) {
	st.text = text
	st.analysis = *analysis
	st.analysis.Slots = append(st.slots[:0], analysis.Slots...)
	st.analysis.NormalForm = nil
}

// Effect returns what the statement may do to stored data, as classified by sqltext.
func (st *Statement) Effect() sqltext.Verdict { return st.analysis.Verdict }

// FirstWord returns the first word of the statement, or "(" if it begins with another token.
func (st *Statement) FirstWord() string { return st.analysis.FirstWord }

// MultipleStatements reports whether the text contains more than one statement.
func (st *Statement) MultipleStatements() bool { return st.analysis.MultipleStatements }

// Dataset returns the number of the data set that the statement's tables belong to. ok is false if the statement
// names no data set.
func (st *Statement) Dataset() (dataset int64, ok bool) {
	return st.analysis.Dataset, st.analysis.HasDataset
}
