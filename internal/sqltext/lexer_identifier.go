package sqltext

import "strings"

// scanIdentifier scans a key word or a name. A string or a quoted name whose prefix looks
// like one, such as E'..', is scanned as what it is.
func (l *Lexer) scanIdentifier() Token {
	src, start := l.Src, l.Pos
	i, seen := start, uint8(0)
	for ; i < len(src); i++ {
		class := charClasses[src[i]]
		if class&charName == 0 {
			break
		}
		seen |= class
	}
	if seen&charNonASCII != 0 {
		l.Flaws |= NonASCII
	}
	l.Pos = i
	if i-start == 1 && i < len(src) && (src[i] == '\'' || src[i] == '&') {
		if t, ok := l.scanPrefixed(start); ok {
			return t
		}
	}
	info := identifierInfo(nameHash(src, start, i))
	if seen&charUpper != 0 {
		info |= 1 << infoUpperShift
	}
	if i-start <= maxKeywordLength {
		info |= lookupKeyword(src[start:i], info)
	}
	return Token{Kind: Identifier, Start: start, End: i, info: info}
}

// scanPrefixed scans a string or a quoted name behind a prefix of one letter, which has
// been scanned. ok is false where the letter is no prefix.
func (l *Lexer) scanPrefixed(start int) (t Token, ok bool) {
	src := l.Src
	prefix, next := src[start]|0x20, src[start+1]
	if next == '&' && prefix == 'u' {
		return l.scanUnicodeEscaped(start)
	}
	if next != '\'' {
		return Token{}, false
	}
	kind := String
	switch prefix {
	case 'b', 'x':
		kind = BitString
	case 'e', 'n':
	default:
		return Token{}, false
	}
	l.Pos++
	l.skipString(prefix == 'e')
	return Token{Kind: kind, Start: start, End: l.Pos}, true
}

// scanUnicodeEscaped scans U&'..' or U&"..".
func (l *Lexer) scanUnicodeEscaped(start int) (t Token, ok bool) {
	const prefixLength = len("U&")
	quote := start + prefixLength
	if quote >= len(l.Src) || l.Src[quote] != '\'' && l.Src[quote] != '"' {
		return Token{}, false
	}
	l.Flaws |= UnicodeEscape
	l.Pos = quote + 1
	if l.Src[quote] == '"' {
		l.skipQuotedIdentifier()
		return Token{Kind: QuotedIdentifier, Start: start, End: l.Pos}, true
	}
	l.skipString(false)
	return Token{Kind: String, Start: start, End: l.Pos}, true
}

// skipQuotedIdentifier skips a quoted name from behind its opening quote.
func (l *Lexer) skipQuotedIdentifier() {
	src, i := l.Src, l.Pos
	for i < len(src) {
		c := src[i]
		switch {
		case c >= 0x80:
			l.Flaws |= NonASCII
			i++
		case c == 0:
			l.Flaws |= InvalidCharacter
			i++
		case c != '"':
			i++
		case i+1 < len(src) && src[i+1] == '"':
			i += 2
		default:
			l.Pos = i + 1
			return
		}
	}
	l.Flaws |= Unterminated
	l.Pos = len(src)
}

// unquoteIdentifier removes the quotes of a name. Doubled quotes within it stay.
func unquoteIdentifier(name string) string {
	if len(name) >= 2 && name[0] == '"' {
		return strings.TrimSuffix(name[1:], `"`)
	}
	return name
}

// hashName returns the hash of a name that may be quoted.
func hashName(name string) uint32 {
	name = unquoteIdentifier(name)
	return nameHash(name, 0, len(name))
}

// nameHash hashes the name src[start:end] regardless of case, by its length and its first
// and last eight bytes. It serves to find key words and columns; nothing relies on
// different names having different hashes.
func nameHash(src string, start, end int) uint32 {
	const (
		multiplier = 0x9e3779b97f4a7c15 // 2^64 divided by the golden ratio
		lowerCase  = 0x2020202020202020
	)
	n := end - start
	var first, last uint64
	switch {
	case n >= 8:
		first, last = load8(src[start:end]), load8(src[end-8:end])
	case start+8 <= len(src):
		first = load8(src[start:]) & (1<<(8*n) - 1)
	default:
		for i := end - 1; i >= start; i-- {
			first = first<<8 | uint64(src[i])
		}
	}
	if n < 8 {
		first |= lowerCase & (1<<(8*n) - 1)
	} else {
		first, last = first|lowerCase, last|lowerCase
	}
	h := (first ^ uint64(n)) * multiplier
	h = (h ^ h>>29 ^ last) * multiplier
	return uint32(h >> 32)
}

// load8 reads eight bytes, little-endian; the compiler turns it into one load.
func load8(s string) uint64 {
	_ = s[7]
	return uint64(s[0]) | uint64(s[1])<<8 | uint64(s[2])<<16 | uint64(s[3])<<24 |
		uint64(s[4])<<32 | uint64(s[5])<<40 | uint64(s[6])<<48 | uint64(s[7])<<56
}
