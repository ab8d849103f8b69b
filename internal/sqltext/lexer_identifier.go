package sqltext

import "strings"

// scanIdentifier scans a key word or a name. If the name is the prefix of a string or of a quoted name,
// as in E'..', scanIdentifier scans the whole string or quoted name.
func (l *Lexer) scanIdentifier() Token {
	src := l.Src
	start := l.Pos
	end := start
	seen := uint8(0) // the classes of all characters of the name
	for ; end < len(src); end++ {
		class := charClasses[src[end]]
		if class&charName == 0 {
			break
		}
		seen |= class
	}
	if seen&charNonASCII != 0 {
		l.Flaws |= NonASCII
	}
	l.Pos = end
	if end-start == 1 && end < len(src) && (src[end] == '\'' || src[end] == '&') {
		if t, ok := l.scanPrefixed(start); ok {
			return t
		}
	}
	info := identifierInfo(hashName(src, start, end))
	if seen&charUpper != 0 {
		info |= 1 << infoUpperShift
	}
	if end-start <= maxKeywordLength {
		info |= lookupKeyword(src[start:end], info)
	}
	return Token{Kind: Identifier, Start: start, End: end, info: info}
}

// scanPrefixed scans the rest of a string or of a quoted name, whose one-letter prefix at start is already
// scanned. ok is false if the letter is not a prefix.
func (l *Lexer) scanPrefixed(start int) (t Token, ok bool) {
	prefix := l.Src[start] | lowerCaseBit
	next := l.Src[start+1]
	if next == '&' && prefix == 'u' {
		return l.scanUnicodeEscaped(start)
	}
	if next != '\'' {
		return Token{}, false
	}
	kind := String
	syntax := standardString
	switch prefix {
	case 'b', 'x':
		kind = BitString
	case 'e':
		syntax = escapeString
	case 'n':
	default:
		return Token{}, false
	}
	l.Pos++
	l.skipString(syntax)
	return Token{Kind: kind, Start: start, End: l.Pos}, true
}

// scanUnicodeEscaped scans U&'..' or U&"..". ok is false if no quote follows U&.
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
	l.skipString(standardString)
	return Token{Kind: String, Start: start, End: l.Pos}, true
}

// skipQuotedIdentifier skips the rest of a quoted name, whose opening quote is already scanned.
func (l *Lexer) skipQuotedIdentifier() {
	src := l.Src
	i := l.Pos
	for i < len(src) {
		c := src[i]
		switch {
		case c >= firstNonASCII:
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

// unquoteIdentifier removes the quotes around a name. It leaves doubled quotes within the name as they are.
func unquoteIdentifier(name string) string {
	if len(name) >= len(`""`) && name[0] == '"' {
		return strings.TrimSuffix(name[1:], `"`)
	}
	return name
}

// hashQuotedName returns the hash of a quoted name. The same name without quotes has the same hash.
func hashQuotedName(name string) uint32 {
	name = unquoteIdentifier(name)
	return hashName(name, 0, len(name))
}

// hashName hashes the name src[start:end], ignoring case, by its length and its first and last eight bytes. The
// hash is used to look up key words and to match columns; nothing relies on different names having different
// hashes. hashName takes the surrounding text so that it can read eight bytes at once even if the name is shorter.
func hashName(src string, start, end int) uint32 {
	const (
		multiplier   = 0x9e3779b97f4a7c15 // 2^64 divided by the golden ratio
		lowerCase    = 0x2020202020202020 // lowerCaseBit of each byte
		wordBytes    = 8
		bitsPerByte  = 8
		mixShift     = 29
		upper32Shift = 32
	)
	length := end - start
	var first, last uint64
	switch {
	case length >= wordBytes:
		first = load8(src[start:end]) | lowerCase
		last = load8(src[end-wordBytes:end]) | lowerCase
	case start+wordBytes <= len(src):
		mask := uint64(1)<<(bitsPerByte*length) - 1
		first = (load8(src[start:]) | lowerCase) & mask
	default:
		for i := end - 1; i >= start; i-- {
			first = first<<bitsPerByte | uint64(src[i]|lowerCaseBit)
		}
	}
	hash := (first ^ uint64(length)) * multiplier
	hash = (hash ^ hash>>mixShift ^ last) * multiplier
	return uint32(hash >> upper32Shift)
}

// load8 reads eight bytes in little-endian order; the compiler turns it into a single load.
func load8(s string) uint64 {
	_ = s[7]
	return uint64(s[0]) | uint64(s[1])<<8 | uint64(s[2])<<16 | uint64(s[3])<<24 |
		uint64(s[4])<<32 | uint64(s[5])<<40 | uint64(s[6])<<48 | uint64(s[7])<<56
}
