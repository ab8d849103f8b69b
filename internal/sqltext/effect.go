package sqltext

import "strings"

// Effect is what a statement may do to stored data.
type Effect uint8

// Effects. The zero value is the most cautious.
const (
	EffectUnknown Effect = iota // unknown: it may write
	EffectWrites                // it writes, as far as its words show
	EffectReads                 // all of it is known, and nothing of it is known to write
)

var effectNames = [...]string{"can't be told", "writes", "reads"}

// String implements fmt.Stringer.
func (e Effect) String() string { return effectNames[e] }

// Verdict is the effect of a statement and what decided it.
type Verdict struct {
	Effect Effect
	Reason string // a few words
	Word   string // the word that decided, as written in the statement; "" where Reason says all
}

// String returns the word and the reason.
func (v Verdict) String() string {
	if v.Word == "" {
		return v.Reason
	}
	return v.Word + ": " + v.Reason
}

// Functions is a set of read-only functions, by name in lower case, with the schema where
// that is not pg_catalog.
type Functions map[string]bool

// has looks a name up. Names in lower case, as most are, need no allocation.
func (f Functions) has(name string) bool { return f[name] || f[strings.ToLower(name)] }

// EffectOf classifies a statement, and errs on the side of writing: it is read-only only if
// its first word begins a read-only statement, no word of it writes or locks, and all functions
// and operators that it names are known to be read-only. readOnly names functions beside
// PostgreSQL's own.
//
// Writes that the text doesn't show are not detected: a view or an operator over a function that
// writes, a cast with a function of its own, and a column that is a function (t.f).
func EffectOf(stmt string, readOnly Functions) Verdict {
	l := Lexer{Src: stmt}
	classifier := effectClassifier{readOnly: readOnly}
	for t := l.Next(); t.Kind != EndOfText; t = l.Next() {
		classifier.token(&l, t)
		if classifier.decided() {
			return classifier.worst
		}
	}
	return classifier.verdict(&l)
}
