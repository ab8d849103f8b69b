package sqltext

import (
	"strings"
	"unicode/utf8"
)

// Effect is what a statement may do to what is stored.
type Effect uint8

// Effects. The zero value is the most cautious: what can't be told may write.
const (
	Untold Effect = iota // it may write
	Writes               // it does, as far as its words tell
	Reads                // nothing in it is known to write, and all of it is known
)

var effectNames = [...]string{"can't be told", "writes", "reads"}

func (e Effect) String() string { return effectNames[e] }

// Verdict is a statement's effect, and the word of it that decided.
type Verdict struct {
	Effect Effect
	Reason    string // a few words
	Word   string // as it stands in the statement; "" where Why says all
}

func (v Verdict) String() string {
	if v.Word == "" {
		return v.Reason
	}
	return v.Word + ": " + v.Reason
}

// Functions names functions that only read, in small letters, with their schema where
// they are not of pg_catalog.
type Functions map[string]bool

// has looks a name up without an allocation for names as they are usually written.
func (f Functions) has(name string) bool { return f[name] || f[strings.ToLower(name)] }

// EffectOf reads what a statement may do, and errs on the side of writing: it reads
// only where its first word says so, no word in it writes or locks, and all functions
// and operators that it names are known to read. more are the operator's own.
//
// What a text can't show is not seen: a view or an operator over a function that
// writes, a cast with a function of its own, and a column that is a function (t.f).
func EffectOf(stmt string, more Functions) Verdict {
	l := Lexer{Src: stmt}
	r := effectClassifier{readOnly: more}
	for t := l.Next(); t.Kind != End; t = l.Next() {
		r.token(&l, t)
		if r.decided() {
			return r.worst
		}
	}
	return r.verdict(&l)
}

// sure tells that nothing more can change the verdict.
func (r *effectClassifier) decided() bool { return r.worst.Reason != "" && r.worst.Effect == Writes }

// effectReader judges a run of tokens.
type effectClassifier struct {
	readOnly  Functions
	worst Verdict // the first that is no reading one; Writes goes before Untold

	begun            bool // the first word was read
	explain, planOnly bool // EXPLAIN stands in front; nothing yet says that it runs
	inOptions          bool // between EXPLAIN and its statement
	depth            int  // of parentheses

	previousKeyword, keywordBefore keyword // of the last two tokens, where they are key words
	previousKind, kindBefore  Kind // of the last two tokens
	previous         Token
	previousClass          keywordClass
	previousSchema       Token // of last, where it is qualified
	distinctOn   bool  // DISTINCT ON stands in the statement: a call may follow a parenthesis
	// ctes has a bit for each depth at which a list of common table expressions is
	// being read; expect one where the next name begins one.
	cteLists, cteNameNext uint64
	afterCTEName      bool // last is the name of one
}

func (r *effectClassifier) report(e Effect, word, why string) {
	if r.worst.Reason == "" || e == Writes && r.worst.Effect == Untold {
		r.worst = Verdict{e, why, word}
	}
}

func depthBit(depth int) uint64 {
	if depth < 0 || depth > 63 {
		return 0 // deeper lists are not known as such; their columns look like calls
	}
	return 1 << depth
}

func (r *effectClassifier) token(l *Lexer, t Token) {
	w, use := t.keyword(), t.class()
	schema := Token{}
	switch t.Kind {
	case Identifier, QuotedIdentifier:
		if r.previousKind == Dot { // a part of a longer name: no key word
			w, use = keywordNone, 0
			schema = r.previous
		}
		if r.previousKind != Dot || r.kindBefore != Identifier && r.kindBefore != QuotedIdentifier {
			schema = Token{}
		}
		r.identifier(l, t, w, use)
	case LeftParen:
		r.leftParen(l)
		r.depth++
		r.cteLists &^= depthBit(r.depth)
		r.cteNameNext &^= depthBit(r.depth)
	case RightParen:
		r.depth--
	case Comma:
		if r.cteLists&depthBit(r.depth) != 0 {
			r.cteNameNext |= depthBit(r.depth)
		}
	case Operator:
		if !isReadOnlyOperator(l.Text(t)) {
			r.report(Untold, l.Text(t), "an operator that is not known")
		}
	}
	if t.Kind == Dot { // the name goes on
		r.kindBefore, r.previousKind = r.previousKind, Dot
		return
	}
	r.keywordBefore, r.previousKeyword = r.previousKeyword, w
	r.kindBefore, r.previousKind = r.previousKind, t.Kind
	r.previousClass, r.previous, r.previousSchema = use, t, schema
}

func (r *effectClassifier) identifier(l *Lexer, t Token, w keyword, use keywordClass) {
	r.afterCTEName = false
	text := l.Text(t)
	start := !r.begun || r.previousKind == LeftParen
	switch {
	case !r.begun:
		r.begun = true
		switch {
		case w == keywordExplain:
			r.explain, r.planOnly, r.inOptions = true, true, true
		case use&readingWord != 0:
		case use&writingWord != 0:
			r.report(Writes, text, "it writes")
		default:
			r.firstWord(text, t.Kind)
		}
	case r.inOptions:
		r.explainOption(text, t.Kind, use)
		start = start || !r.inOptions
	}
	if r.begun && use&writingWord != 0 && r.previousKeyword != keywordAs && !r.planOnly && r.previous.Kind != End {
		r.report(Writes, text, "it writes")
	}
	switch {
	case w == keywordWith && start: // elsewhere it is WITH ORDINALITY, WITH TIES or the like
		r.cteLists |= depthBit(r.depth)
		r.cteNameNext |= depthBit(r.depth)
	case w == keywordRecursive && r.previousKeyword == keywordWith:
	case r.cteNameNext&depthBit(r.depth) != 0:
		r.cteNameNext &^= depthBit(r.depth)
		r.afterCTEName = true
	case use&(readingWord|writingWord) != 0:
		r.cteLists &^= depthBit(r.depth)
	case w == keywordOn && r.previousKeyword == keywordDistinct:
		r.distinctOn = true
	}
	if r.previousKeyword == keywordFor && (w == keywordUpdate || w == keywordNo || w == keywordShare || w == keywordKey) && !r.planOnly {
		r.report(Writes, "FOR "+strings.ToUpper(text), "it locks rows")
	}
	if w == keywordOperator {
		r.report(Untold, text, "an operator named by its schema")
	}
}

// first judges a first word that begins no reading statement.
func (r *effectClassifier) firstWord(text string, k Kind) {
	if k == Identifier {
		switch strings.ToUpper(text) {
		case "CREATE", "ALTER", "DROP", "TRUNCATE", "COMMENT", "GRANT", "REVOKE", "REINDEX", "CLUSTER", "VACUUM",
			"REFRESH", "IMPORT", "SECURITY", "REASSIGN", "COPY":
			r.report(Writes, text, "it writes")
			return
		case "DO", "CALL", "EXECUTE":
			r.report(Untold, text, "what it runs can't be seen")
			return
		}
	}
	r.report(Untold, text, "it begins no statement that is known to read")
}

// option reads what stands between EXPLAIN and its statement. ANALYZE in any form
// runs the statement; whatever is not known as an option begins it.
func (r *effectClassifier) explainOption(text string, k Kind, use keywordClass) {
	if strings.EqualFold(unquoteIdentifier(text), "analyze") || strings.EqualFold(unquoteIdentifier(text), "analyse") {
		r.planOnly = false
		return
	}
	if r.depth > 0 && use&readingWord == 0 || strings.EqualFold(text, "verbose") {
		return
	}
	r.inOptions = false
	if use&readingWord == 0 && !r.planOnly {
		if use&writingWord != 0 {
			r.report(Writes, text, "EXPLAIN ANALYZE runs it")
		} else {
			r.firstWord(text, k)
		}
	}
}

// open judges a parenthesis: behind a name that is no key word it begins a call.
func (r *effectClassifier) leftParen(l *Lexer) {
	if !r.begun || r.inOptions || r.planOnly {
		return
	}
	if r.previous.Kind != Identifier && r.previous.Kind != QuotedIdentifier || r.previousKind == Dot {
		return
	}
	qualified := r.previousSchema.Kind != End
	if !qualified && (r.keywordBefore == keywordAs || r.kindBefore == RightParen && !r.distinctOn && r.previousClass&(reservedWord|infixWord) == 0) {
		return // the columns of an alias
	}
	if r.previous.Kind == Identifier && !qualified {
		switch {
		case r.previousClass&(reservedWord|typeWord) != 0, r.afterCTEName:
			return
		case r.previousKeyword == keywordOver || r.previousKeyword == keywordFilter:
			if r.kindBefore == RightParen { // a call is over, and this belongs to it
				return
			}
		case r.previousClass&infixWord != 0:
			if r.kindBefore == Identifier && r.keywordBefore == keywordNone || r.kindBefore == RightParen || r.kindBefore == QuotedIdentifier || r.kindBefore == String ||
				r.kindBefore == Number || r.kindBefore == Parameter || r.kindBefore == RightBracket || r.keywordBefore == keywordNot || r.keywordBefore == keywordNatural ||
				r.keywordBefore == keywordNull || r.keywordBefore == keywordTrue || r.keywordBefore == keywordFalse {
				return
			}
		case r.previousKeyword == keywordBy && (r.keywordBefore == keywordOrder || r.keywordBefore == keywordGroup || r.keywordBefore == keywordPartition):
			return
		case r.previousKeyword == keywordSets && r.keywordBefore == keywordGrouping, (r.previousKeyword == keywordFirst || r.previousKeyword == keywordNext) && r.keywordBefore == keywordFetch,
			r.previousKeyword == keywordMaterialized && (r.keywordBefore == keywordAs || r.keywordBefore == keywordNot):
			return
		}
	}
	name := l.Text(r.previous)
	if r.previous.Kind == QuotedIdentifier {
		name = unquoteIdentifier(name)
	}
	if qualified {
		schema := unquoteIdentifier(l.Text(r.previousSchema))
		if !equalFold(schema, "pg_catalog") {
			full := schema + "." + name
			if r.readOnly.has(full) {
				return
			}
			r.report(Untold, full, "a function not known to read only")
			return
		}
	}
	if r.previous.Kind == QuotedIdentifier && name != strings.ToLower(name) || !readOnlyFunctions.has(name) && !r.readOnly.has(name) {
		r.report(Untold, name, "a function not known to read only")
	}
}

func (r *effectClassifier) verdict(l *Lexer) Verdict {
	switch {
	case r.worst.Reason != "":
		return r.worst
	case !r.begun:
		return Verdict{Untold, "no word begins it", ""}
	case l.Flaws&Unterminated != 0:
		return Verdict{Untold, "a string, a name or a comment in it does not end", ""}
	case l.Flaws&BackslashQuote != 0:
		return Verdict{Untold, "a backslash before a quote reads differently without standard_conforming_strings", ""}
	case l.Flaws&UnicodeEscape != 0:
		return Verdict{Untold, "U& hides what it spells", ""}
	case l.Flaws&InvalidCharacter != 0:
		return Verdict{Untold, "a character in it is of no statement", ""}
	case l.Flaws&NonASCII != 0 && !utf8.ValidString(l.Src):
		return Verdict{Untold, "it is not UTF-8", ""}
	}
	return Verdict{Reads, "all its words and functions read", ""}
}
