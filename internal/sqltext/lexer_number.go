package sqltext

// scanNumber scans a number. Text that follows the number without a space, such as a letter, begins the next
// token, as in PostgreSQL up to version 14; later versions reject such text.
func (l *Lexer) scanNumber() Token {
	src := l.Src
	i := l.Pos
	if digits := i + len("0x"); src[i] == '0' && digits < len(src) {
		if isRadixDigit := radixDigits(src[i+1]); isRadixDigit != nil && isRadixDigit(src[digits]) {
			return l.numberUpTo(skipDigits(src, digits, isRadixDigit))
		}
	}
	i = skipDigits(src, i, isDigit)
	if i < len(src) && src[i] == '.' && (i+1 >= len(src) || src[i+1] != '.') {
		i = skipDigits(src, i+1, isDigit)
	}
	return l.numberUpTo(skipExponent(src, i))
}

func (l *Lexer) numberUpTo(end int) Token {
	start := l.Pos
	l.Pos = end
	return Token{Kind: Number, Start: start, End: end}
}

// radixDigits returns the predicate for the digits of a number that begins with 0 and the given letter, or nil if
// 0 and the letter are not a radix prefix.
func radixDigits(letter byte) func(byte) bool {
	switch letter | lowerCaseBit {
	case 'x':
		return isHexDigit
	case 'o', 'b':
		return isDigit
	}
	return nil
}

// skipDigits returns the end of the run of digits at i. Single underscores may separate the digits.
func skipDigits(src string, i int, isDigit func(byte) bool) int {
	for i < len(src) && (isDigit(src[i]) || src[i] == '_' && i+1 < len(src) && isDigit(src[i+1])) {
		i++
	}
	return i
}

// skipExponent returns the end of the exponent at i, or i if there is none.
func skipExponent(src string, i int) int {
	if i >= len(src) || src[i]|lowerCaseBit != 'e' {
		return i
	}
	digits := i + 1
	if digits < len(src) && (src[digits] == '+' || src[digits] == '-') {
		digits++
	}
	if digits >= len(src) || !isDigit(src[digits]) {
		return i
	}
	return skipDigits(src, digits, isDigit)
}
