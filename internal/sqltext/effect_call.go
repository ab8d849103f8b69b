package sqltext

import "strings"

// classifyLeftParen classifies an opening parenthesis, which begins a call if it follows the name of a function.
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

// classifyQualifiedCall classifies a call of a function in a schema other than pg_catalog.
func (c *effectClassifier) classifyQualifiedCall(name string) {
	if !c.readOnly.has(name) {
		c.report(EffectUnknown, name, unknownFunction)
	}
}

// unknownFunction is the reason in the verdict on a call whose effect is unknown.
const unknownFunction = "a function not known to read only"

// qualified reports whether the previous name is qualified by a schema.
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

// inAlias reports whether a parenthesis after the previous token contains the columns of an alias.
func (c *effectClassifier) inAlias() bool {
	return c.keywordBefore == keywordAs ||
		c.kindBefore == RightParen && !c.hasDistinctOn && c.previousClass&(reservedWord|infixWord) == 0
}

// wordBeginsCall reports whether a parenthesis after the previous token, an unquoted and unqualified word, may
// begin a call.
func (c *effectClassifier) wordBeginsCall() bool {
	if c.previousClass&(reservedWord|typeWord) != 0 || c.ctes.afterName {
		return false
	}
	if c.previousKeyword == keywordOver || c.previousKeyword == keywordFilter {
		return c.kindBefore != RightParen // after a call, OVER or FILTER belongs to that call
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

// afterOperand reports whether the previous word follows an operand, or another word that can't precede the name
// of a function. In that position, an infix word is an operator.
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
