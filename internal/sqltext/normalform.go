package sqltext

// normalForm builds the normal form of a statement.
type normalForm struct {
	text      []byte
	nameStart int // position in text of the name that was added last

	// If the last token is the sign of the literal that follows, signStart is the position of the sign in text, and
	// signOffset is the position of the sign in the statement. Otherwise signStart is 0.
	signStart  int
	signOffset int
}

// spacelessKinds holds the kinds of tokens that are not followed by a space in the normal form.
var spacelessKinds = [Invalid + 1]bool{EndOfText: true, Dot: true, LeftParen: true, LeftBracket: true, Cast: true}

// addSpace separates the next word from the previous token.
func (n *normalForm) addSpace(previous Kind) {
	if !spacelessKinds[previous] {
		n.text = append(n.text, ' ')
	}
}

// addName adds a key word or a name, in lower case unless its case is significant.
func (n *normalForm) addName(t Token, name string) {
	n.nameStart = len(n.text)
	switch {
	case t.Kind == QuotedIdentifier:
		n.text = appendQuoted(n.text, name)
	case t.hasUpper():
		n.text = appendLower(n.text, name)
	default:
		n.text = append(n.text, name...)
	}
}

// addPlaceholder adds a placeholder in place of a value and its sign. It returns the position of the
// sign in the statement; ok is false if the value has no sign.
func (n *normalForm) addPlaceholder(previous Kind) (signOffset int, ok bool) {
	ok = n.signStart > 0
	if ok {
		n.text = n.text[:n.signStart]
	} else {
		n.addSpace(previous)
	}
	n.text = append(n.text, '?')
	return n.signOffset, ok
}

// clearSign makes the last operator an operator between values, not a sign.
func (n *normalForm) clearSign() { n.signStart = 0 }

// canRemoveSign reports whether a sign at start can be removed together with its value. A separator must precede
// the sign.
func (n *normalForm) canRemoveSign(start int) bool {
	if start == 0 {
		return false
	}
	switch n.text[start-1] {
	case ' ', '(', '[':
		return true
	}
	return false
}

// maskDataset replaces the number at the end of a schema's name by #. It is called at the dot that follows the
// name, since only the dot shows that the name is the name of a schema.
func (n *normalForm) maskDataset(previous Kind) {
	if previous != Identifier && previous != QuotedIdentifier || n.nameStart >= len(n.text) {
		return
	}
	end := len(n.text)
	for end > n.nameStart && isDigit(n.text[end-1]) {
		end--
	}
	if end < len(n.text) && end > n.nameStart+1 && n.text[end-1] == '_' {
		n.text = append(n.text[:end], '#')
	}
}

// trimSpace removes trailing spaces.
func (n *normalForm) trimSpace() {
	for length := len(n.text); length > 0 && n.text[length-1] == ' '; length-- {
		n.text = n.text[:length-1]
	}
}

// appendLower appends a name in lower case.
func appendLower(buffer []byte, name string) []byte {
	start := len(buffer)
	buffer = append(buffer, name...)
	for i, c := range buffer[start:] {
		buffer[start+i] = foldedChars[c]
	}
	return buffer
}

// appendQuoted appends a quoted name. It omits the quotes if they do not change the meaning of the name.
func appendQuoted(buffer []byte, name string) []byte {
	const shortest = len(`"a"`)
	if len(name) < shortest || name[0] != '"' || charClasses[name[1]]&charNameStart == 0 {
		return append(buffer, name...)
	}
	inner := name[1 : len(name)-1]
	l := Lexer{Src: inner}
	if t := l.scanIdentifier(); t.End < len(inner) || t.hasUpper() || t.keyword() != keywordNone || t.class() != 0 {
		return append(buffer, name...)
	}
	return append(buffer, inner...)
}
