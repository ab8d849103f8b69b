package sqltext

// analysisPass is the state of the analysis of one statement. It passes each token to the normal form, the
// slots and the features.
type analysisPass struct {
	lexer   Lexer
	result  *Analysis
	hasher  *fingerprintHasher
	slots   *slotBuffer
	lists   *listStack
	normal  normalForm
	dataset datasetFinder

	depth           int // nesting depth of parentheses and brackets
	previousKind    Kind
	previousKeyword keyword
	keywordBefore   keyword // of the token before the previous one
	expected        expectedValue
}

// addToken updates the analysis with the next token of the statement.
func (p *analysisPass) addToken(t Token) {
	word := t.keyword()
	class := t.class()
	if p.previousKind == Dot { // part of a qualified name
		word = keywordNone
		class = 0
	}
	if finder := &p.dataset; !finder.certain {
		// This switch has the same effect as datasetFinder.addToken, but calls it only for the tokens that can
		// change the result: a call for each token is too expensive.
		switch {
		case t.Kind == Dot || t.class()&tableWord != 0:
			finder.addToken(&p.lexer, t)
		case t.Kind <= QuotedIdentifier:
			finder.previousName = t
			finder.previousKind = t.Kind
		case t.Kind == LeftParen:
			finder.previousKind = LeftParen
		default:
			finder.afterTableWord = false
			finder.previousKind = t.Kind
		}
	}
	if p.lists.count > 0 {
		p.trackElement(t)
	}
	switch t.Kind {
	case Identifier, QuotedIdentifier:
		p.addIdentifier(t, word, class)
	case String, BitString, DollarString, Number, Parameter:
		p.addValue(t)
	default:
		p.addPunctuation(t)
	}
	if t.Kind != Operator {
		p.normal.clearSign()
	}
	p.keywordBefore = p.previousKeyword
	p.previousKeyword = word
	p.previousKind = t.Kind
}

// finish completes the result at the end of the text.
func (p *analysisPass) finish() {
	p.endLists(-1) // ends all lists, unless the parentheses are unbalanced
	p.normal.trimSpace()
	p.result.Fingerprint = p.fingerprint()
	p.result.NormalForm = p.normal.text
	p.result.Slots = p.slots.used()
	p.result.Dataset = p.dataset.dataset
	p.result.HasDataset = p.dataset.found
}

// fingerprint returns the fingerprint of the complete normal form.
func (p *analysisPass) fingerprint() [2]uint64 {
	if !p.result.Truncated {
		return p.hasher.ofBytes(p.normal.text)
	}
	p.hasher.addPart(p.normal.text)
	return p.hasher.sumParts()
}

// maxPendingBytes is the length above which the pending part of the normal form is hashed at the next comma outside
// folded lists. The pending part is the part that is not hashed yet.
const maxPendingBytes = 16 << 10

// hashPending hashes the normal form so far and empties its buffer, so that a long statement does not need a
// long buffer.
func (p *analysisPass) hashPending() {
	if !p.result.Truncated {
		p.hasher.beginParts()
		p.result.Truncated = true
	}
	p.hasher.addPart(p.normal.text)
	p.normal.text = p.normal.text[:0]
}
