package sqltext

import "strings"

// Effect is what a statement may do to stored data.
type Effect uint8

// Effects. The zero value is the most cautious.
const (
	EffectUnknown Effect = iota // the statement may write
	EffectWrites                // the words of the statement show that it writes
	EffectReads                 // all words and functions of the statement are known to be read-only
)

var effectNames = [...]string{"can't be told", "writes", "reads"}

// String implements fmt.Stringer.
func (e Effect) String() string { return effectNames[e] }

// Verdict is the effect of a statement and the reason for this classification.
type Verdict struct {
	Effect Effect
	Reason string // a short phrase
	Word   string // the word, operator or function that determined the effect; "": no single one did
}

// String returns the word and the reason.
func (v Verdict) String() string {
	if v.Word == "" {
		return v.Reason
	}
	return v.Word + ": " + v.Reason
}

// Functions is a set of read-only functions. Names are in lower case. If statements call a function with its schema,
// the name here includes the schema too, unless the schema is pg_catalog.
type Functions map[string]bool

// has reports whether the set contains a function. For names in lower case, as most are, it does not allocate.
func (f Functions) has(name string) bool { return f[name] || f[strings.ToLower(name)] }

// EffectOf classifies a statement. A statement is classified as read-only only if its first word begins a read-only
// statement, none of its words writes or locks rows, and all its functions and operators are known to be read-only.
// Any other statement is treated as one that may write. readOnly lists read-only functions in addition to those of
// PostgreSQL.
//
// Writes that the text does not show are not detected. They come from a function that a view, an operator or a cast
// calls, or from a function that is called with the syntax of a column (t.f).
//
// The text must contain a single statement; FirstWord reports whether it contains more. In a further statement, a first
// word such as CREATE or CALL is not detected. After an EXPLAIN without ANALYZE, no write in a further statement is
// detected.
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
