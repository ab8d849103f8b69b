package sqltext

// scanOperator scans a run of operator characters. A comment within it ends it, and it
// ends in + or - only if one of ~ ! @ # % ^ & | ` ? is part of it.
func (l *Lexer) scanOperator() Token {
	src := l.Src
	start := l.Pos
	end := start
	mayEndInSign := false
	for end < len(src) && charClasses[src[end]]&charOperator != 0 {
		if end+1 < len(src) && (src[end] == '-' && src[end+1] == '-' || src[end] == '/' && src[end+1] == '*') {
			break
		}
		switch src[end] {
		case '~', '!', '@', '#', '%', '^', '&', '|', '`', '?':
			mayEndInSign = true
		}
		end++
	}
	for !mayEndInSign && end > start+1 && (src[end-1] == '+' || src[end-1] == '-') {
		end--
	}
	l.Pos = end
	return Token{Kind: Operator, Start: start, End: end}
}
