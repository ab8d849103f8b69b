package sqltext

import "strings"

// classifyLeftParen classifies a parenthesis, which begins a call after the name of a function.
func (c *effectClassifier) classifyLeftParen(lexer *Lexer) {
	if c.phase != executed || !c.beginsCall() {
		return
	}
	name := lexer.Text(c.previous)
	quoted := c.previous.Kind == QuotedIdentifier
	if quoted {
		name = unquoteIdentifier(name)
	}
	if c.qualified() {
		if schema := unquoteIdentifier(lexer.Text(c.previousSchema)); !equalFold(schema, "pg_catalog") {
			c.classifyQualifiedCall(schema + "." + name)
			return
		}
	}
	caseSensitive := quoted && name != strings.ToLower(name)
	if caseSensitive || !readOnlyFunctions.has(name) && !c.readOnly.has(name) {
		c.report(EffectUnknown, name, unknownFunction)
	}
}

// classifyQualifiedCall classifies a call of a function of another schema than pg_catalog.
func (c *effectClassifier) classifyQualifiedCall(name string) {
	if !c.readOnly.has(name) {
		c.report(EffectUnknown, name, unknownFunction)
	}
}

// unknownFunction is the reason for which a call has no known effect.
const unknownFunction = "a function not known to read only"

// qualified reports whether the previous name has a schema.
func (c *effectClassifier) qualified() bool { return c.previousSchema.Kind != EndOfText }

// beginsCall reports whether a parenthesis after the previous token may begin a call.
func (c *effectClassifier) beginsCall() bool {
	if c.previousKind != Identifier && c.previousKind != QuotedIdentifier {
		return false
	}
	if c.qualified() {
		return true
	}
	if c.inAlias() {
		return false
	}
	return c.previousKind == QuotedIdentifier || c.wordBeginsCall()
}

// inAlias reports whether a parenthesis contains the columns of an alias.
func (c *effectClassifier) inAlias() bool {
	return c.keywordBefore == keywordAs ||
		c.kindBefore == RightParen && !c.hasDistinctOn && c.previousClass&(reservedWord|infixWord) == 0
}

// wordBeginsCall reports whether a parenthesis after an unquoted, unqualified word may
// begin a call.
func (c *effectClassifier) wordBeginsCall() bool {
	if c.previousClass&(reservedWord|typeWord) != 0 || c.ctes.afterName {
		return false
	}
	if c.previousKeyword == keywordOver || c.previousKeyword == keywordFilter {
		return c.kindBefore != RightParen // after a call, it belongs to that call
	}
	if c.previousClass&infixWord != 0 {
		return !c.afterOperand()
	}
	switch c.previousKeyword {
	case keywordBy:
		return c.keywordBefore != keywordOrder && c.keywordBefore != keywordGroup && c.keywordBefore != keywordPartition
	case keywordSets:
		return c.keywordBefore != keywordGrouping
	case keywordFirst, keywordNext:
		return c.keywordBefore != keywordFetch
	case keywordMaterialized:
		return c.keywordBefore != keywordAs && c.keywordBefore != keywordNot
	default:
		return true
	}
}

// afterOperand reports whether the previous word follows an operand, or a word that can't
// precede a function's name either. An infix word there is an operator.
func (c *effectClassifier) afterOperand() bool {
	switch c.kindBefore {
	case RightParen, RightBracket, QuotedIdentifier, String, Number, Parameter:
		return true
	case Identifier:
		if c.keywordBefore == keywordNone {
			return true
		}
	default:
	}
	switch c.keywordBefore {
	case keywordNot, keywordNatural, keywordNull, keywordTrue, keywordFalse:
		return true
	default:
		return false
	}
}
