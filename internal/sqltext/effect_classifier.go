package sqltext

import (
	"strings"
	"unicode/utf8"
)

// classifierPhase is the position of the classifier in a text. It also shows whether the statement will be executed.
//
//	beforeFirstWord --EXPLAIN--> planOptions --first word of the statement--> planOnly
//	beforeFirstWord --any other word--> executed
//	planOptions --ANALYZE--> executeOptions --first word of the statement--> executed
type classifierPhase uint8

const (
	beforeFirstWord classifierPhase = iota
	planOptions                     // among the options of EXPLAIN, before any ANALYZE
	executeOptions                  // among the options of EXPLAIN, after ANALYZE
	planOnly                        // in a statement that is planned and not executed
	executed                        // in a statement that is executed
)

// onlyPlans reports whether the statement is only planned and not executed, according to the options so far.
func (p classifierPhase) onlyPlans() bool { return p == planOptions || p == planOnly }

// inOptions reports whether the options of EXPLAIN may continue.
func (p classifierPhase) inOptions() bool { return p == planOptions || p == executeOptions }

// effectClassifier classifies a sequence of tokens.
type effectClassifier struct {
	readOnly Functions
	// worst is the first verdict recorded by report. If its effect is EffectUnknown, the first later verdict with
	// EffectWrites replaces it. worst.Reason is empty until report is called.
	worst Verdict
	phase classifierPhase
	depth int // nesting depth of parentheses

	// The last token and the one before it. Dots are skipped, so that previous is the last part of a qualified name.
	previous        Token
	previousSchema  Token // the name before the dot, if previous is qualified
	previousClass   keywordClass
	previousKeyword keyword
	keywordBefore   keyword // of the token before previous

	// The kinds of the last token and of the one before it, dots included.
	previousKind Kind
	kindBefore   Kind

	hasDistinctOn bool // the statement contains DISTINCT ON, so that a call may follow a parenthesis
	ctes          cteTracker
}

// decided reports whether no further token can change the verdict.
func (c *effectClassifier) decided() bool { return c.worst.Effect == EffectWrites }

// report records a word whose effect is not EffectReads.
func (c *effectClassifier) report(effect Effect, word, reason string) {
	if c.worst.Reason == "" || effect == EffectWrites && c.worst.Effect == EffectUnknown {
		c.worst = Verdict{Effect: effect, Reason: reason, Word: word}
	}
}

// addToken updates the verdict and the classifier's state with the next token of the text.
func (c *effectClassifier) addToken(lexer *Lexer, t Token) {
	word := t.keyword()
	class := t.class()
	schema := Token{}
	switch t.Kind {
	case Identifier, QuotedIdentifier:
		if c.previousKind == Dot { // part of a qualified name
			word = keywordNone
			class = 0
			if c.kindBefore == Identifier || c.kindBefore == QuotedIdentifier {
				schema = c.previous
			}
		}
		c.addIdentifier(lexer, t, word, class)
	case LeftParen:
		c.classifyLeftParen(lexer)
		c.ctes.beginParen(c.depth, c.previousKeyword)
		c.depth++
		c.ctes.enterParen(c.depth)
	case RightParen:
		c.depth--
	case Comma:
		c.ctes.addComma(c.depth)
	case Operator:
		if !isReadOnlyOperator(lexer.Text(t)) {
			c.report(EffectUnknown, lexer.Text(t), "an operator that is not known")
		}
	default: // other tokens do not change the verdict
	}
	if t.Kind != Identifier && t.Kind != QuotedIdentifier {
		c.ctes.afterName = false
	}
	c.setPrevious(t, word, class, schema)
}

// setPrevious makes t the previous token.
func (c *effectClassifier) setPrevious(t Token, word keyword, class keywordClass, schema Token) {
	c.kindBefore = c.previousKind
	c.previousKind = t.Kind
	if t.Kind == Dot { // the name continues
		return
	}
	c.keywordBefore = c.previousKeyword
	c.previousKeyword = word
	c.previousClass = class
	c.previous = t
	c.previousSchema = schema
}

// addIdentifier adds a key word or a name.
func (c *effectClassifier) addIdentifier(lexer *Lexer, t Token, word keyword, class keywordClass) {
	c.ctes.afterName = false
	text := lexer.Text(t)
	beginsStatement := c.phase == beforeFirstWord || c.previousKind == LeftParen
	if c.phase == beforeFirstWord {
		c.classifyFirstWord(text, t.Kind, word, class)
	} else if c.phase.inOptions() {
		c.classifyExplainOption(text, t.Kind, class)
		beginsStatement = beginsStatement || !c.phase.inOptions()
	}
	if word == keywordNone && class == 0 && c.ctes.nameExpected == 0 {
		return // a plain name is irrelevant to the checks below
	}
	c.reportKeyword(text, word, class)
	if word == keywordOn && c.previousKeyword == keywordDistinct && !c.ctes.isNameExpected(c.depth) {
		c.hasDistinctOn = true
	}
	c.ctes.addWord(c.depth, word, class, c.previousKeyword, beginsStatement)
}

// reportKeyword reports a key word that indicates a write, a lock on rows or an operator whose effect is unknown.
func (c *effectClassifier) reportKeyword(text string, word keyword, class keywordClass) {
	if word == keywordOperator {
		c.report(EffectUnknown, text, "an operator named by its schema")
	}
	if c.phase.onlyPlans() {
		return
	}
	isFirstToken := c.previous.Kind == EndOfText // classifyFirstWord has classified it
	if class&writingWord != 0 && c.previousKeyword != keywordAs && !isFirstToken {
		c.report(EffectWrites, text, "it writes")
	}
	if c.previousKeyword != keywordFor {
		return
	}
	switch word {
	case keywordUpdate, keywordNo, keywordShare, keywordKey:
		c.report(EffectWrites, "FOR "+strings.ToUpper(text), "it locks rows")
	default:
	}
}

// classifyFirstWord classifies the first word or name of the text.
func (c *effectClassifier) classifyFirstWord(text string, kind Kind, word keyword, class keywordClass) {
	if word == keywordExplain {
		c.phase = planOptions
		return
	}
	c.phase = executed
	switch {
	case class&readingWord != 0:
	case class&writingWord != 0:
		c.report(EffectWrites, text, "it writes")
	default:
		c.classifyOtherStatement(text, kind)
	}
}

// classifyOtherStatement classifies a statement whose first word is neither a readingWord nor a writingWord.
func (c *effectClassifier) classifyOtherStatement(text string, kind Kind) {
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

// classifyExplainOption classifies a word between EXPLAIN and its statement. ANALYZE in any form causes the
// statement to be executed. Within the parentheses of the options, only a readingWord begins the statement. Outside
// them, any word but VERBOSE does.
func (c *effectClassifier) classifyExplainOption(text string, kind Kind, class keywordClass) {
	name := unquoteIdentifier(text)
	if strings.EqualFold(name, "analyze") || strings.EqualFold(name, "analyse") {
		c.phase = executeOptions
		return
	}
	if c.depth > 0 && class&readingWord == 0 || strings.EqualFold(text, "verbose") {
		return
	}
	if c.phase == planOptions {
		c.phase = planOnly
		return
	}
	c.phase = executed
	switch {
	case class&readingWord != 0:
	case class&writingWord != 0:
		c.report(EffectWrites, text, "EXPLAIN ANALYZE runs it")
	default:
		c.classifyOtherStatement(text, kind)
	}
}

// flawReasons lists the reasons in the verdicts on texts with flaws, the most important first.
var flawReasons = []struct {
	flaw   Flaw
	reason string
}{
	{Unterminated, "a string, a name or a comment in it does not end"},
	{BackslashQuote, "a backslash before a quote reads differently without standard_conforming_strings"},
	{UnicodeEscape, "U& hides what it spells"},
	{InvalidCharacter, "a character in it is of no statement"},
}

// verdict returns the result at the end of the text.
func (c *effectClassifier) verdict(lexer *Lexer) Verdict {
	if c.worst.Reason != "" {
		return c.worst
	}
	if c.phase == beforeFirstWord {
		return Verdict{Effect: EffectUnknown, Reason: "no word begins it"}
	}
	for _, flawReason := range flawReasons {
		if lexer.Flaws&flawReason.flaw != 0 {
			return Verdict{Effect: EffectUnknown, Reason: flawReason.reason}
		}
	}
	if lexer.Flaws&NonASCII != 0 && !utf8.ValidString(lexer.Src) {
		return Verdict{Effect: EffectUnknown, Reason: "it is not UTF-8"}
	}
	return Verdict{Effect: EffectReads, Reason: "all its words and functions read"}
}
