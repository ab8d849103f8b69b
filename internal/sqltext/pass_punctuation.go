package sqltext

// addPunctuation adds a punctuation mark or an operator.
func (p *analysisPass) addPunctuation(t Token) {
	p.expected.afterInterval = false
	if t.Kind != Cast {
		p.expected.parameter = 0
	}
	switch t.Kind {
	case LeftParen:
		p.addLeftParen()
	case LeftBracket:
		p.normal.text = append(p.normal.text, '[')
		p.depth++
		if p.previousKeyword == keywordArray && !p.lists.full() {
			p.beginAlternatives()
		}
	case RightParen, RightBracket:
		p.normal.text = append(p.normal.text, p.lexer.Src[t.Start])
		p.depth--
	case Comma:
		if p.lists.count == 0 && len(p.normal.text) > maxPendingBytes {
			p.hashPending()
		}
		p.normal.text = append(p.normal.text, ',')
		if p.expected.role != RoleList {
			p.expected.endComparison()
		}
	case Dot:
		p.normal.maskDataset(p.previousKind)
		p.normal.text = append(p.normal.text, '.')
	case Semicolon:
	case Operator:
		p.addOperator(p.lexer.Src[t.Start:t.End])
	default:
		p.normal.text = append(p.normal.text, p.lexer.Src[t.Start:t.End]...)
	}
}

// addLeftParen adds an opening parenthesis, which may begin a list of alternatives or a subquery.
func (p *analysisPass) addLeftParen() {
	if p.previousKind == Operator || p.previousKind == Comma || p.previousKeyword != keywordNone {
		p.normal.addSpace(p.previousKind)
	}
	p.normal.text = append(p.normal.text, '(')
	p.depth++
	if p.expected.role != RoleList {
		return
	}
	switch p.previousKeyword {
	case keywordIn, keywordAny, keywordSome:
	default:
		return
	}
	next := p.lexer
	if next.Next().class()&readingWord != 0 {
		p.expected.role = RoleOther
	} else if p.previousKeyword == keywordIn && !p.lists.full() {
		p.beginAlternatives()
	}
}

// addOperator adds an operator and sets the role of the value that follows it.
func (p *analysisPass) addOperator(text string) {
	p.normal.clearSign()
	signed := text == "-" && p.expectsOperand()
	p.normal.addSpace(p.previousKind)
	start := len(p.normal.text)
	p.normal.text = append(p.normal.text, text...)
	if signed && p.normal.canRemoveSign(start) {
		p.normal.signStart = start
		p.normal.signOffset = p.lexer.Pos - 1
		return
	}
	switch text {
	case "=":
		p.expected.compare(RoleEqual)
	case "<", "<=":
		p.expected.compare(RoleUpperBound)
	case ">", ">=":
		p.expected.compare(RoleLowerBound)
	case "~", "~~", "~*", "~~*":
		p.expected.compare(RolePattern)
	default:
		p.expected.role = RoleOther
	}
}

// expectsOperand reports whether the next token must be an operand, so that a minus is a sign.
func (p *analysisPass) expectsOperand() bool {
	switch p.previousKind {
	case Operator, LeftParen, Comma, LeftBracket:
		return true
	default:
		return p.previousKeyword != keywordNone
	}
}
