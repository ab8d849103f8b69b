package sqltext

// identifier adds a key word or a name.
func (p *pass) identifier(t Token, word keyword, class keywordClass) {
	p.space()
	p.nameStart = len(p.normalForm)
	text := p.lexer.Src[t.Start:t.End]
	switch {
	case t.Kind == QuotedIdentifier:
		p.normalForm = appendQuoted(p.normalForm, text)
	case t.hasUpper():
		p.normalForm = appendLower(p.normalForm, text)
	default:
		p.normalForm = append(p.normalForm, text...)
	}
	p.afterInterval = word == keywordInterval
	if p.previousKind != Cast && word != keywordIs {
		p.parameter = 0
	}
	if word == keywordNone && class == 0 {
		p.name(t, text)
		return
	}
	p.countFeature(word)
	if word == keywordValues && p.openLists < maxNestedLists {
		p.pushList(foldedList{
			depth: p.depth, isRows: true, start: len(p.normalForm), elementStart: len(p.normalForm), firstLength: -1, slot: noSlot,
		})
	}
	p.expectValue(word, class)
}

// countFeature updates the features with a key word.
func (p *pass) countFeature(word keyword) {
	f := &p.result.Features
	switch word {
	case keywordSelect:
		f.Selects++
		p.setVerb(VerbSelect)
	case keywordInsert:
		p.setVerb(VerbInsert)
	case keywordUpdate:
		if p.previousKeyword != keywordFor {
			p.setVerb(VerbUpdate)
		}
	case keywordDelete:
		p.setVerb(VerbDelete)
	case keywordMerge:
		p.setVerb(VerbMerge)
	case keywordExplain:
		p.setVerb(VerbExplain)
	case keywordFrom:
		f.Tables++
	case keywordJoin:
		f.Tables++
		f.Joins++
	case keywordGroup:
		if p.previousKeyword != keywordWithin {
			f.Groups++
		}
	case keywordOrder:
		f.Sorts++
	case keywordDistinct:
		if p.previousKeyword != keywordIs && p.previousKeyword != keywordNot {
			f.Distincts++
		}
	case keywordOver:
		f.Windows++
	case keywordWhere:
		f.Where = true
	}
}

// setVerb sets the verb. A verb that writes replaces a SELECT before it.
func (p *pass) setVerb(verb Verb) {
	f := &p.result.Features
	if f.Verb == 0 || f.Verb == VerbSelect && verb != VerbSelect {
		f.Verb = verb
	}
}

// maxAggregateName is the length of the longest aggregate function's name, with some room.
const maxAggregateName = 12

// name handles a name that is no key word.
func (p *pass) name(t Token, text string) {
	p.column = t.hash()
	if t.Kind == QuotedIdentifier {
		p.column = hashName(text)
	}
	if end := p.lexer.Pos; end < len(p.lexer.Src) && len(text) <= maxAggregateName {
		switch p.lexer.Src[end] { // the next character rules out most names at once
		case '(', ' ', '/', '\n', '\t', '\r':
			if t.Kind == Identifier && isAggregate(text) {
				next := p.lexer
				if next.Next().Kind == LeftParen {
					p.result.Features.Aggregates++
				}
			}
		}
	}
	if p.pendingRole != RoleOther && (equalFold(text, "date") || equalFold(text, "timestamptz")) {
		return // the type of the literal that follows
	}
	p.pendingRole = RoleOther
}

// isAggregate reports whether a function of this name aggregates many rows into one.
func isAggregate(name string) bool {
	switch name[0] | 0x20 {
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
