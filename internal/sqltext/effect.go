package sqltext

import "strings"

// Effect is what a statement may do to stored data.
type Effect uint8

// Effects. The zero value is the most cautious.
const (
	EffectUnknown Effect = iota // unknown: it may write
	EffectWrites                // its words show that it writes
	EffectReads                 // all of its words and functions are known to be read-only
)

var effectNames = [...]string{"can't be told", "writes", "reads"}

// String implements fmt.Stringer.
func (e Effect) String() string { return effectNames[e] }

// Verdict is the effect of a statement and what decided it.
type Verdict struct {
	Effect Effect
	Reason string // a few words
	Word   string // the word that decided, as written in the statement; "": no single word did
}

// String returns the word and the reason.
func (v Verdict) String() string {
	if v.Word == "" {
		return v.Reason
	}
	return v.Word + ": " + v.Reason
}

// Functions is a set of read-only functions. Names are in lower case, and have their schema unless that
// is pg_catalog.
type Functions map[string]bool

// has reports whether the set contains a function. Most names are in lower case and need no allocation.
func (f Functions) has(name string) bool { return f[name] || f[strings.ToLower(name)] }

// EffectOf classifies a statement, and errs on the side of writing: it is read-only only if
// its first word begins a read-only statement, no word of it writes or locks, and all functions
// and operators that it names are known to be read-only. readOnly names functions beside
// PostgreSQL's own.
//
// Writes that the text doesn't show are not detected: a view or an operator over a function that
// writes, a cast that calls a function, and a function that is called like a column (t.f).
func EffectOf(stmt string, readOnly Functions) Verdict {
	l := Lexer{Src: stmt}
	classifier := effectClassifier{readOnly: readOnly}
	for t := l.Next(); t.Kind != EndOfText; t = l.Next() {
		classifier.addToken(&l, t)
		if classifier.decided() {
			return classifier.worst
		}
	}
	return classifier.verdict(&l)
}
