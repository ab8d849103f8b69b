package sqltext

// addIdentifier adds a key word or a name.
func (p *analysisPass) addIdentifier(t Token, word keyword, class keywordClass) {
	p.normal.addSpace(p.previousKind)
	text := p.lexer.Src[t.Start:t.End]
	p.normal.addName(t, text)
	p.expected.afterInterval = word == keywordInterval
	if p.previousKind != Cast && word != keywordIs {
		p.expected.parameter = 0
	}
	if word == keywordNone && class == 0 {
		p.addPlainName(t, text)
		return
	}
	p.result.Features.countKeyword(word, p.previousKeyword)
	if word == keywordValues && !p.lists.full() {
		p.beginRows()
	}
	p.expectValue(word, class)
}

// countKeyword updates the features with a key word and the one directly before it.
func (f *Features) countKeyword(word, previous keyword) {
	switch word {
	case keywordSelect:
		f.Selects++
		f.setVerb(VerbSelect)
	case keywordInsert:
		f.setVerb(VerbInsert)
	case keywordUpdate:
		if previous != keywordFor {
			f.setVerb(VerbUpdate)
		}
	case keywordDelete:
		f.setVerb(VerbDelete)
	case keywordMerge:
		f.setVerb(VerbMerge)
	case keywordExplain:
		f.setVerb(VerbExplain)
	case keywordFrom:
		f.Tables++
	case keywordJoin:
		f.Tables++
		f.Joins++
	case keywordGroup:
		if previous != keywordWithin {
			f.Groups++
		}
	case keywordOrder:
		f.Sorts++
	case keywordDistinct:
		if previous != keywordIs && previous != keywordNot {
			f.Distincts++
		}
	case keywordOver:
		f.Windows++
	case keywordWhere:
		f.Where = true
	default: // other words do not indicate the cost
	}
}

// setVerb sets the verb if there is none yet. A verb other than SELECT also replaces SELECT.
func (f *Features) setVerb(verb Verb) {
	if f.Verb == 0 || f.Verb == VerbSelect && verb != VerbSelect {
		f.Verb = verb
	}
}

// maxAggregateNameLength is the length in bytes of the longest name in isAggregate, rounded up.
const maxAggregateNameLength = 12

// addPlainName handles a name that is not a key word.
func (p *analysisPass) addPlainName(t Token, text string) {
	p.expected.column = t.hash()
	if t.Kind == QuotedIdentifier {
		p.expected.column = hashQuotedName(text)
	}
	if p.isAggregateCall(t, text) {
		p.result.Features.Aggregates++
	}
	if p.expected.role != RoleOther && (equalFold(text, "date") || equalFold(text, "timestamptz")) {
		return // the name is the type of the literal that follows
	}
	p.expected.role = RoleOther
}

// isAggregateCall reports whether a name is the name of an aggregate function and a parenthesis follows it.
func (p *analysisPass) isAggregateCall(t Token, text string) bool {
	end := p.lexer.Pos
	if end >= len(p.lexer.Src) || len(text) > maxAggregateNameLength {
		return false
	}
	switch p.lexer.Src[end] { // the next character excludes most names without a look-up
	case '(', ' ', '/', '\n', '\t', '\r':
	default:
		return false
	}
	if t.Kind != Identifier || !isAggregate(text) {
		return false
	}
	next := p.lexer
	return next.Next().Kind == LeftParen
}

// isAggregate reports whether a function of this name aggregates many rows into one.
func isAggregate(name string) bool {
	switch name[0] | lowerCaseBit {
	case 'c':
		return equalFold(name, "count")
	case 's':
		return equalFold(name, "sum") || equalFold(name, "string_agg") || equalFold(name, "stddev")
	case 'm':
		return equalFold(name, "max") || equalFold(name, "min")
	case 'a':
		return equalFold(name, "avg") || equalFold(name, "array_agg")
	case 'j':
		return equalFold(name, "json_agg") || equalFold(name, "jsonb_agg")
	case 'v':
		return equalFold(name, "variance")
	}
	return false
}
