package sqltext

// joinsNext holds the kinds of token that no space follows in the normal form.
var joinsNext = [Invalid + 1]bool{EndOfText: true, Dot: true, LeftParen: true, LeftBracket: true, Cast: true}

// space separates the next word from the previous token.
func (p *pass) space() {
	if !joinsNext[p.previousKind] {
		p.normalForm = append(p.normalForm, ' ')
	}
}

// punctuation adds a punctuation mark or an operator.
func (p *pass) punctuation(t Token) {
	p.afterInterval = false
	if t.Kind != Cast {
		p.parameter = 0
	}
	switch t.Kind {
	case LeftParen:
		p.leftParen()
	case LeftBracket:
		p.normalForm = append(p.normalForm, '[')
		p.depth++
		if p.previousKeyword == keywordArray && p.openLists < maxNestedLists {
			p.beginList()
		}
	case RightParen, RightBracket:
		p.normalForm = append(p.normalForm, p.lexer.Src[t.Start])
		p.depth--
	case Comma:
		if p.openLists == 0 && len(p.normalForm) > maxPendingNormalForm {
			p.hashPrefix()
		}
		p.normalForm = append(p.normalForm, ',')
		if p.pendingRole != RoleList {
			p.pendingRole, p.column = RoleOther, 0
		}
	case Dot:
		p.maskDataset()
		p.normalForm = append(p.normalForm, '.')
	case Semicolon:
	case Operator:
		p.operator(p.lexer.Src[t.Start:t.End])
	default:
		p.normalForm = append(p.normalForm, p.lexer.Src[t.Start:t.End]...)
	}
}

// leftParen adds a parenthesis, which may begin a list of alternatives or a subquery.
func (p *pass) leftParen() {
	if p.previousKind == Operator || p.previousKind == Comma || p.previousKeyword != keywordNone {
		p.space()
	}
	p.normalForm = append(p.normalForm, '(')
	p.depth++
	if p.pendingRole != RoleList {
		return
	}
	switch p.previousKeyword {
	case keywordIn, keywordAny, keywordSome:
	default:
		return
	}
	next := p.lexer
	if next.Next().class()&readingWord != 0 {
		p.pendingRole = RoleOther
	} else if p.previousKeyword == keywordIn && p.openLists < maxNestedLists {
		p.beginList()
	}
}

// operator adds an operator, and sets the role of a value behind it.
func (p *pass) operator(text string) {
	p.signStart = 0
	signed := text == "-" && p.expectsOperand()
	p.space()
	start := len(p.normalForm)
	p.normalForm = append(p.normalForm, text...)
	if signed && p.startsOperand(start) {
		p.signStart, p.signOffset = start, p.lexer.Pos-1
		return
	}
	switch text {
	case "=":
		p.pendingRole, p.comparedColumn = RoleEqual, p.column
	case "<", "<=":
		p.pendingRole, p.comparedColumn = RoleUpperBound, p.column
	case ">", ">=":
		p.pendingRole, p.comparedColumn = RoleLowerBound, p.column
	case "~", "~~", "~*", "~~*":
		p.pendingRole, p.comparedColumn = RolePattern, p.column
	default:
		p.pendingRole = RoleOther
	}
}

// expectsOperand reports whether an operand follows, so that a minus is a sign.
func (p *pass) expectsOperand() bool {
	switch p.previousKind {
	case Operator, LeftParen, Comma, LeftBracket:
		return true
	}
	return p.previousKeyword != keywordNone
}

// startsOperand reports whether a sign at start in the normal form can be removed together
// with its value. It must have a separator before it.
func (p *pass) startsOperand(start int) bool {
	if start == 0 {
		return false
	}
	switch p.normalForm[start-1] {
	case ' ', '(', '[':
		return true
	}
	return false
}

// maskDataset replaces the number in a schema's name by #. It is called at the dot behind
// a name, which shows that it is the name of a schema.
func (p *pass) maskDataset() {
	if p.previousKind != Identifier && p.previousKind != QuotedIdentifier || p.nameStart >= len(p.normalForm) {
		return
	}
	end := len(p.normalForm)
	for end > p.nameStart && isDigit(p.normalForm[end-1]) {
		end--
	}
	if end < len(p.normalForm) && end > p.nameStart+1 && p.normalForm[end-1] == '_' {
		p.normalForm = append(p.normalForm[:end], '#')
	}
}

// trimSpace removes trailing spaces.
func (p *pass) trimSpace() {
	for n := len(p.normalForm); n > 0 && p.normalForm[n-1] == ' '; n-- {
		p.normalForm = p.normalForm[:n-1]
	}
}

// appendLower appends a name in lower case.
func appendLower(b []byte, name string) []byte {
	start := len(b)
	b = append(b, name...)
	for i, c := range b[start:] {
		b[start+i] = foldedChars[c]
	}
	return b
}

// appendQuoted appends a quoted name, without its quotes where it means the same without.
func appendQuoted(b []byte, name string) []byte {
	if len(name) < 3 || name[0] != '"' || charClasses[name[1]]&charNameStart == 0 {
		return append(b, name...)
	}
	inner := name[1 : len(name)-1]
	l := Lexer{Src: inner}
	if t := l.scanIdentifier(); t.End < len(inner) || t.hasUpper() || t.keyword() != keywordNone || t.class() != 0 {
		return append(b, name...)
	}
	return append(b, inner...)
}
