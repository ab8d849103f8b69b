package sqltext

// stringSyntax determines the meaning of a backslash in a string.
type stringSyntax uint8

const (
	standardString stringSyntax = iota // '..': a backslash is an ordinary character
	escapeString                       // E'..': a backslash escapes the character after it
)

// skipString skips the rest of a string, whose opening quote is already scanned. A doubled or an escaped quote
// is part of the string. The string continues after its closing quote if another quote follows on a later line and
// only white space and -- comments are between the two quotes.
func (l *Lexer) skipString(syntax stringSyntax) {
	src := l.Src
	i := l.Pos
	for i < len(src) {
		c := src[i]
		switch {
		case c == '\\' && syntax == escapeString:
			i += 2
		case c == '\\':
			if i+1 < len(src) && src[i+1] == '\'' {
				l.Flaws |= BackslashQuote
			}
			i++
		case c != '\'':
			if c >= firstNonASCII {
				l.Flaws |= NonASCII
			} else if c == 0 {
				l.Flaws |= InvalidCharacter
			}
			i++
		case i+1 < len(src) && src[i+1] == '\'':
			i += 2
		default:
			next, ok := stringContinuation(src, i+1)
			if !ok {
				l.Pos = i + 1
				return
			}
			i = next
		}
	}
	l.Flaws |= Unterminated
	l.Pos = len(src)
}

// stringContinuation returns the position at which a string continues. The closing quote of the string is directly
// before i. ok is false if the string does not continue.
func stringContinuation(src string, i int) (next int, ok bool) {
	lineEnded := false
	for i < len(src) {
		switch c := src[i]; {
		case c == '\n' || c == '\r':
			lineEnded = true
			i++
		case charClasses[c]&charSpace != 0:
			i++
		case c == '-' && i+1 < len(src) && src[i+1] == '-':
			i = lineCommentEnd(src, i+commentDelimiterLength)
		case c == '\'' && lineEnded:
			return i + 1, true
		default:
			return 0, false
		}
	}
	return 0, false
}

// scanDollar scans a dollar-quoted string, or a parameter such as $1.
func (l *Lexer) scanDollar() Token {
	src := l.Src
	start := l.Pos
	i := start + 1
	if i < len(src) && isDigit(src[i]) {
		for i < len(src) && isDigit(src[i]) {
			i++
		}
		l.Pos = i
		return Token{Kind: Parameter, Start: start, End: i}
	}
	for i < len(src) && src[i] != '$' && charClasses[src[i]]&charName != 0 {
		i++
	}
	if i >= len(src) || src[i] != '$' {
		l.Flaws |= InvalidCharacter
		return l.scanSingle(Invalid)
	}
	tag := src[start : i+1]
	if end, ok := indexTag(src, i+1, tag); ok {
		l.Pos = end + len(tag)
	} else {
		l.Flaws |= Unterminated
		l.Pos = len(src)
	}
	for _, c := range []byte(src[start:l.Pos]) {
		if c >= firstNonASCII {
			l.Flaws |= NonASCII
			break
		}
	}
	return Token{Kind: DollarString, Start: start, End: l.Pos}
}

// indexTag returns the position of the first occurrence of the tag at or after i. ok is false if the tag does not
// occur. A tag has dollar signs only at its start and its end, so the bytes that matched before a mismatch can be
// skipped, and the search takes linear time.
func indexTag(src string, i int, tag string) (index int, ok bool) {
	for i+len(tag) <= len(src) {
		if src[i] != '$' {
			i++
			continue
		}
		matched := 1
		for matched < len(tag) && src[i+matched] == tag[matched] {
			matched++
		}
		if matched == len(tag) {
			return i, true
		}
		i += max(matched-1, 1)
	}
	return 0, false
}
