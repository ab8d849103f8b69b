package sqltext

// scanOperator scans an operator: a run of operator characters, up to a comment if one begins within the run. A + or -
// at the end belongs to the operator only if the operator contains one of ~ ! @ # % ^ & | ` ?. Otherwise the + or - is
// the next token, as in a=-1.
func (l *Lexer) scanOperator() Token {
	src := l.Src
	start := l.Pos
	if start < l.signsEnd {
		return l.scanSingle(Operator)
	}
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
	if !mayEndInSign {
		l.signsEnd = end
	}
	for !mayEndInSign && end > start+1 && (src[end-1] == '+' || src[end-1] == '-') {
		end--
	}
	l.Pos = end
	return Token{Kind: Operator, Start: start, End: end}
}
