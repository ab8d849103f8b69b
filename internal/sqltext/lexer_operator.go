package sqltext

// scanOperator scans a run of operator characters. A comment within it ends it, and it
// ends in + or - only if one of ~ ! @ # % ^ & | ` ? is part of it.
func (l *Lexer) scanOperator() Token {
	src, start := l.Src, l.Pos
	i, mayEndInSign := start, false
	for i < len(src) && charClasses[src[i]]&charOperator != 0 {
		if i+1 < len(src) && (src[i] == '-' && src[i+1] == '-' || src[i] == '/' && src[i+1] == '*') {
			break
		}
		switch src[i] {
		case '~', '!', '@', '#', '%', '^', '&', '|', '`', '?':
			mayEndInSign = true
		}
		i++
	}
	for !mayEndInSign && i > start+1 && (src[i-1] == '+' || src[i-1] == '-') {
		i--
	}
	l.Pos = i
	return Token{Kind: Operator, Start: start, End: i}
}
