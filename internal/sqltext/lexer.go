package sqltext

// Lexer splits a text into tokens. Its zero value with Src set is ready for use. It has no state besides its
// fields, so it can be copied to look ahead.
type Lexer struct {
	Src   string
	Pos   int
	Flaws Flaw // found so far
	// signsEnd is the end of the run of + and - that scanOperator has found last: until there, each sign is a token by
	// itself. Without it, the rest of the run would be scanned again for each sign.
	signsEnd int
}

// Text returns the text of a token.
func (l *Lexer) Text(t Token) string { return l.Src[t.Start:t.End] }

// Next returns the next token. White space and comments before it are skipped.
func (l *Lexer) Next() Token {
	src := l.Src
	start := l.Pos
	if start < len(src) && src[start] == ' ' { // most tokens follow a single space
		start++
		l.Pos = start
	}
	if start < len(src) && (charClasses[src[start]]&charSpace != 0 || src[start] == '-' || src[start] == '/') {
		l.skipSpace()
		start = l.Pos
	}
	if start >= len(src) {
		return Token{Kind: EndOfText, Start: start, End: start}
	}
	c := src[start]
	class := charClasses[c]
	switch {
	case class&charNameStart != 0:
		return l.scanIdentifier()
	case class&charDigit != 0:
		return l.scanNumber()
	case class&charOperator != 0:
		return l.scanOperator()
	case c == '\'':
		l.Pos = start + 1
		l.skipString(standardString)
		return Token{Kind: String, Start: start, End: l.Pos}
	case singleKinds[c] != EndOfText:
		l.Pos = start + 1
		return Token{Kind: singleKinds[c], Start: start, End: l.Pos}
	}
	return l.scanPunctuation()
}

// singleKinds maps each character that is always a token by itself to the kind of that token, and all other
// bytes to EndOfText.
var singleKinds = [byteValues]Kind{
	'(': LeftParen,
	')': RightParen,
	',': Comma,
	'[': LeftBracket,
	']': RightBracket,
	';': Semicolon,
}

// scanPunctuation scans a token that begins with a double quote, a dollar sign, a punctuation mark that may be part
// of a longer token, or an invalid character.
func (l *Lexer) scanPunctuation() Token {
	src := l.Src
	start := l.Pos
	switch src[start] {
	case '"':
		l.Pos++
		l.skipQuotedIdentifier()
		return Token{Kind: QuotedIdentifier, Start: start, End: l.Pos}
	case '$':
		return l.scanDollar()
	case '.':
		if start+1 < len(src) && isDigit(src[start+1]) {
			return l.scanNumber()
		}
		return l.scanSingle(Dot)
	case ':':
		return l.scanColon()
	}
	l.Flaws |= InvalidCharacter
	return l.scanSingle(Invalid)
}

// scanSingle scans a token of one character.
func (l *Lexer) scanSingle(kind Kind) Token {
	start := l.Pos
	l.Pos = start + 1
	return Token{Kind: kind, Start: start, End: l.Pos}
}

// scanColon scans one of the tokens :, := and ::.
func (l *Lexer) scanColon() Token {
	t := l.scanSingle(Colon)
	if l.Pos < len(l.Src) && l.Src[l.Pos] == ':' {
		t.Kind = Cast
		l.Pos++
	} else if l.Pos < len(l.Src) && l.Src[l.Pos] == '=' {
		l.Pos++
	}
	t.End = l.Pos
	return t
}

// commentDelimiterLength is the length in bytes of each of the delimiters --, /* and */.
const commentDelimiterLength = 2

// skipSpace skips white space and comments.
func (l *Lexer) skipSpace() {
	src := l.Src
	i := l.Pos
	for i < len(src) {
		c := src[i]
		switch {
		case charClasses[c]&charSpace != 0:
			i++
		case c == '-' && i+1 < len(src) && src[i+1] == '-':
			i = lineCommentEnd(src, i+commentDelimiterLength)
		case c == '/' && i+1 < len(src) && src[i+1] == '*':
			end, ok := blockCommentEnd(src, i)
			if !ok {
				l.Flaws |= Unterminated
			}
			i = end
		default:
			l.Pos = i
			return
		}
	}
	l.Pos = i
}

// lineCommentEnd returns the end of the -- comment that contains position i: a line feed, a carriage return or
// the end of the text. A carriage return ends the comment for the engine too, so a statement after it must not
// be skipped.
func lineCommentEnd(src string, i int) int {
	for i < len(src) && src[i] != '\n' && src[i] != '\r' {
		i++
	}
	return i
}

// blockCommentEnd returns the end of the /* comment that begins at i. Such comments nest. ok is false if the
// comment is not terminated.
func blockCommentEnd(src string, i int) (end int, ok bool) {
	depth := 0
	for i+1 < len(src) {
		switch {
		case src[i] == '/' && src[i+1] == '*':
			depth++
			i += commentDelimiterLength
		case src[i] == '*' && src[i+1] == '/':
			depth--
			i += commentDelimiterLength
			if depth == 0 {
				return i, true
			}
		default:
			i++
		}
	}
	return len(src), false
}
