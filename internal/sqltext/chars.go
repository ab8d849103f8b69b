package sqltext

// Classes of characters, as bits.
const (
	charSpace     uint8 = 1 << iota
	charNameStart       // may begin a name
	charDigit
	charOperator
	charName // may continue a name
	charUpper
	charNonASCII
)

// charClasses holds the classes of each byte.
var charClasses = func() (t [256]uint8) {
	for _, c := range " \t\r\n\f\v" {
		t[c] |= charSpace
	}
	for c := range 256 {
		switch {
		case c >= 'a' && c <= 'z', c >= 'A' && c <= 'Z', c == '_', c >= 0x80:
			t[c] |= charNameStart | charName
		case c >= '0' && c <= '9':
			t[c] |= charDigit | charName
		case c == '$':
			t[c] |= charName
		}
	}
	for c := 'A'; c <= 'Z'; c++ {
		t[c] |= charUpper
	}
	for c := 0x80; c < 256; c++ {
		t[c] |= charNonASCII
	}
	for _, c := range "~!@#^&|`?+-*/%<>=" {
		t[c] |= charOperator
	}
	return t
}()

// foldedChars holds the lower case of each byte that may be part of a name, and 0 for others.
var foldedChars = func() (t [256]uint8) {
	for c := range t {
		if charClasses[c]&charName != 0 {
			t[c] = uint8(c)
		}
		if c >= 'A' && c <= 'Z' {
			t[c] |= 0x20
		}
	}
	return t
}()

func isDigit(c byte) bool { return charClasses[c]&charDigit != 0 }
func isHex(c byte) bool   { return isDigit(c) || c|0x20 >= 'a' && c|0x20 <= 'f' }

// equalFold reports whether a text equals a lower-case name, regardless of case.
func equalFold(s, lower string) bool { return len(s) == len(lower) && matchesFolded(s, lower) }

// hasPrefixFold reports whether a text begins with a lower-case name, regardless of case.
func hasPrefixFold(s, lower string) bool {
	return len(s) >= len(lower) && matchesFolded(s[:len(lower)], lower)
}

// matchesFolded compares a text with a lower-case name of the same length, regardless of case.
func matchesFolded(s, lower string) bool {
	for i := range len(lower) {
		if foldedChars[s[i]] != lower[i] {
			return false
		}
	}
	return true
}
