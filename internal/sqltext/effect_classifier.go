package sqltext

import (
	"strings"
	"unicode/utf8"
)

// effectClassifier classifies a sequence of tokens.
type effectClassifier struct {
	readOnly Functions
	worst    Verdict // the first that is not EffectReads; EffectWrites takes precedence over EffectUnknown

	begun     bool // the first word was read
	planOnly  bool // behind EXPLAIN, and no option so far executes the statement
	inOptions bool // between EXPLAIN and its statement
	depth     int  // of parentheses

	// The last tokens. A name qualified by a schema counts as one, apart from kindBefore.
	previous                       Token
	previousSchema                 Token // of previous, where that is qualified
	previousClass                  keywordClass
	previousKeyword, keywordBefore keyword
	previousKind, kindBefore       Kind

	distinctOn bool // the statement has a DISTINCT ON: a call may follow a parenthesis
	// cteLists and cteNameNext have a bit for each depth. The former is set within a list of
	// common table expressions, the latter where the next name begins one.
	cteLists, cteNameNext uint64
	afterCTEName          bool // previous is the name of a common table expression
}

// decided reports whether no further token can change the verdict.
func (c *effectClassifier) decided() bool {
	return c.worst.Reason != "" && c.worst.Effect == EffectWrites
}

func (c *effectClassifier) report(effect Effect, word, reason string) {
	if c.worst.Reason == "" || effect == EffectWrites && c.worst.Effect == EffectUnknown {
		c.worst = Verdict{Effect: effect, Reason: reason, Word: word}
	}
}

// depthBit returns the bit of a depth. Deeper lists than 64 are not tracked; their columns
// look like calls, which errs on the side of writing.
func depthBit(depth int) uint64 {
	if depth < 0 || depth > 63 {
		return 0
	}
	return 1 << depth
}

// token takes the next token.
func (c *effectClassifier) token(l *Lexer, t Token) {
	word, class := t.keyword(), t.class()
	schema := Token{}
	switch t.Kind {
	case Identifier, QuotedIdentifier:
		if c.previousKind == Dot { // part of a qualified name
			word, class = keywordNone, 0
			if c.kindBefore == Identifier || c.kindBefore == QuotedIdentifier {
				schema = c.previous
			}
		}
		c.identifier(l, t, word, class)
	case LeftParen:
		c.leftParen(l)
		c.depth++
		c.cteLists &^= depthBit(c.depth)
		c.cteNameNext &^= depthBit(c.depth)
	case RightParen:
		c.depth--
	case Comma:
		if c.cteLists&depthBit(c.depth) != 0 {
			c.cteNameNext |= depthBit(c.depth)
		}
	case Operator:
		if !isReadOnlyOperator(l.Text(t)) {
			c.report(EffectUnknown, l.Text(t), "an operator that is not known")
		}
	}
	if t.Kind == Dot { // the name continues
		c.kindBefore, c.previousKind = c.previousKind, Dot
		return
	}
	c.keywordBefore, c.previousKeyword = c.previousKeyword, word
	c.kindBefore, c.previousKind = c.previousKind, t.Kind
	c.previousClass, c.previous, c.previousSchema = class, t, schema
}

// identifier takes a key word or a name.
func (c *effectClassifier) identifier(l *Lexer, t Token, word keyword, class keywordClass) {
	c.afterCTEName = false
	text := l.Text(t)
	beginsStatement := !c.begun || c.previousKind == LeftParen
	if !c.begun {
		c.begun = true
		c.firstToken(text, t.Kind, word, class)
	} else if c.inOptions {
		c.explainOption(text, t.Kind, class)
		beginsStatement = beginsStatement || !c.inOptions
	}
	if word == keywordNone && class == 0 && c.cteNameNext == 0 {
		return // a plain name changes nothing below
	}
	if class&writingWord != 0 && c.previousKeyword != keywordAs && !c.planOnly && c.previous.Kind != EndOfText {
		c.report(EffectWrites, text, "it writes")
	}
	c.trackCTEs(word, class, beginsStatement)
	if c.previousKeyword == keywordFor && !c.planOnly {
		switch word {
		case keywordUpdate, keywordNo, keywordShare, keywordKey:
			c.report(EffectWrites, "FOR "+strings.ToUpper(text), "it locks rows")
		}
	}
	if word == keywordOperator {
		c.report(EffectUnknown, text, "an operator named by its schema")
	}
}

// trackCTEs tracks lists of common table expressions, and DISTINCT ON.
func (c *effectClassifier) trackCTEs(word keyword, class keywordClass, beginsStatement bool) {
	bit := depthBit(c.depth)
	switch {
	case word == keywordWith && beginsStatement: // else it is WITH ORDINALITY, WITH TIES or the like
		c.cteLists |= bit
		c.cteNameNext |= bit
	case word == keywordRecursive && c.previousKeyword == keywordWith:
	case c.cteNameNext&bit != 0:
		c.cteNameNext &^= bit
		c.afterCTEName = true
	case class&(readingWord|writingWord) != 0:
		c.cteLists &^= bit
	case word == keywordOn && c.previousKeyword == keywordDistinct:
		c.distinctOn = true
	}
}

// firstToken classifies the first word or name of the text.
func (c *effectClassifier) firstToken(text string, kind Kind, word keyword, class keywordClass) {
	switch {
	case word == keywordExplain:
		c.planOnly, c.inOptions = true, true
	case class&readingWord != 0:
	case class&writingWord != 0:
		c.report(EffectWrites, text, "it writes")
	default:
		c.otherStatement(text, kind)
	}
}

// otherStatement classifies the first word of a statement that is not known to read.
func (c *effectClassifier) otherStatement(text string, kind Kind) {
	if kind == Identifier {
		switch strings.ToUpper(text) {
		case "CREATE", "ALTER", "DROP", "TRUNCATE", "COMMENT", "GRANT", "REVOKE", "REINDEX", "CLUSTER", "VACUUM",
			"REFRESH", "IMPORT", "SECURITY", "REASSIGN", "COPY":
			c.report(EffectWrites, text, "it writes")
			return
		case "DO", "CALL", "EXECUTE":
			c.report(EffectUnknown, text, "what it runs can't be seen")
			return
		}
	}
	c.report(EffectUnknown, text, "it begins no statement that is known to read")
}

// explainOption takes a word between EXPLAIN and its statement. ANALYZE in any form
// executes the statement. A word that is not known as an option begins the statement.
func (c *effectClassifier) explainOption(text string, kind Kind, class keywordClass) {
	name := unquoteIdentifier(text)
	if strings.EqualFold(name, "analyze") || strings.EqualFold(name, "analyse") {
		c.planOnly = false
		return
	}
	if c.depth > 0 && class&readingWord == 0 || strings.EqualFold(text, "verbose") {
		return
	}
	c.inOptions = false
	switch {
	case class&readingWord != 0 || c.planOnly:
	case class&writingWord != 0:
		c.report(EffectWrites, text, "EXPLAIN ANALYZE runs it")
	default:
		c.otherStatement(text, kind)
	}
}

// verdict returns the result at the end of the text.
func (c *effectClassifier) verdict(l *Lexer) Verdict {
	switch {
	case c.worst.Reason != "":
		return c.worst
	case !c.begun:
		return Verdict{Effect: EffectUnknown, Reason: "no word begins it"}
	case l.Flaws&Unterminated != 0:
		return Verdict{Effect: EffectUnknown, Reason: "a string, a name or a comment in it does not end"}
	case l.Flaws&BackslashQuote != 0:
		return Verdict{Effect: EffectUnknown, Reason: "a backslash before a quote reads differently without standard_conforming_strings"}
	case l.Flaws&UnicodeEscape != 0:
		return Verdict{Effect: EffectUnknown, Reason: "U& hides what it spells"}
	case l.Flaws&InvalidCharacter != 0:
		return Verdict{Effect: EffectUnknown, Reason: "a character in it is of no statement"}
	case l.Flaws&NonASCII != 0 && !utf8.ValidString(l.Src):
		return Verdict{Effect: EffectUnknown, Reason: "it is not UTF-8"}
	}
	return Verdict{Effect: EffectReads, Reason: "all its words and functions read"}
}
