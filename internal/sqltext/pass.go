package sqltext

// pass is the state of the analysis of one statement.
type pass struct {
	lexer      Lexer
	analyzer   *Analyzer
	result     *Analysis
	normalForm []byte
	slotCount  int
	dataset    datasetFinder

	depth           int // of parentheses and brackets
	previousKind    Kind
	previousKeyword keyword
	keywordBefore   keyword // of the token before the previous one

	nameStart      int    // of the last name, in the normal form
	column         uint32 // hash of the last name
	pendingRole    Role   // of the next value
	comparedColumn uint32 // that the next value is compared with
	inBetween      bool   // behind BETWEEN: AND leads to the upper bound
	afterInterval  bool   // the previous token is the word INTERVAL
	parameter      int    // number of the last parameter, as long as only casts follow it

	// A sign is part of the literal behind it. signStart is its position in the normal form,
	// or 0 where there is none, and signOffset that in the text.
	signStart  int
	signOffset int

	openLists      int // number of the analyzer's lists in use
	afterSemicolon bool
}

// trackStatements sets the first word, and whether a second statement follows.
func (p *pass) trackStatements(t Token) {
	switch {
	case t.Kind == Semicolon:
		p.afterSemicolon = p.result.FirstWord != ""
	case p.afterSemicolon:
		p.result.MultipleStatements = true
	case p.result.FirstWord != "":
	case t.Kind == Identifier:
		p.result.FirstWord = p.lexer.Text(t)
	default:
		p.result.FirstWord = noWord
	}
}

// token adds one token to the normal form, the slots and the features.
func (p *pass) token(t Token) {
	keyword, class := t.keyword(), t.class()
	if p.previousKind == Dot { // part of a qualified name
		keyword, class = keywordNone, 0
	}
	if finder := &p.dataset; !finder.certain {
		// This does what datasetFinder.token does, but calls it only for the tokens that can
		// change the result: the call is too expensive for each token.
		switch {
		case t.Kind == Dot || t.class()&tableWord != 0:
			finder.token(&p.lexer, t)
		case t.Kind <= QuotedIdentifier:
			finder.previousName, finder.previousKind = t, t.Kind
		case t.Kind == LeftParen:
			finder.previousKind = LeftParen
		default:
			finder.afterTableWord, finder.previousKind = false, t.Kind
		}
	}
	if p.openLists > 0 {
		p.trackElement(t)
	}
	switch t.Kind {
	case Identifier, QuotedIdentifier:
		p.identifier(t, keyword, class)
	case String, BitString, DollarString, Number, Parameter:
		p.value(t)
	default:
		p.punctuation(t)
	}
	if t.Kind != Operator {
		p.signStart = 0
	}
	p.keywordBefore, p.previousKeyword = p.previousKeyword, keyword
	p.previousKind = t.Kind
}
