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

const (
	// lowerCaseBit is the bit that is set in a lower-case ASCII letter and clear in the upper-case one.
	lowerCaseBit = 0x20
	// firstNonASCII is the first byte value that is not ASCII.
	firstNonASCII = 0x80
)

// byteValues is the number of values of a byte.
const byteValues = 256

// charClasses holds the classes of each byte.
var charClasses = func() (classes [byteValues]uint8) {
	for _, c := range " \t\r\n\f\v" {
		classes[c] |= charSpace
	}
	for c := range byteValues {
		switch {
		case c >= 'a' && c <= 'z', c >= 'A' && c <= 'Z', c == '_', c >= firstNonASCII:
			classes[c] |= charNameStart | charName
		case c >= '0' && c <= '9':
			classes[c] |= charDigit | charName
		case c == '$':
			classes[c] |= charName
		}
	}
	for c := 'A'; c <= 'Z'; c++ {
		classes[c] |= charUpper
	}
	for c := firstNonASCII; c < byteValues; c++ {
		classes[c] |= charNonASCII
	}
	for _, c := range "~!@#^&|`?+-*/%<>=" {
		classes[c] |= charOperator
	}
	return classes
}()

// foldedChars maps each byte that may be part of a name to lower case, and all other bytes to 0.
var foldedChars = func() (folded [byteValues]uint8) {
	for c := range folded {
		if charClasses[c]&charName != 0 {
			folded[c] = uint8(c)
		}
		if c >= 'A' && c <= 'Z' {
			folded[c] |= lowerCaseBit
		}
	}
	return folded
}()

// decimal is the base of the numbers that this package parses and formats.
const decimal = 10

func isDigit(c byte) bool { return charClasses[c]&charDigit != 0 }

func isHexDigit(c byte) bool {
	letter := c | lowerCaseBit
	return isDigit(c) || letter >= 'a' && letter <= 'f'
}

// equalFold reports whether s equals a lower-case name, ignoring case.
func equalFold(s, lower string) bool { return len(s) == len(lower) && matchesFolded(s, lower) }

// hasPrefixFold reports whether s begins with a lower-case name, ignoring case.
func hasPrefixFold(s, lower string) bool {
	return len(s) >= len(lower) && matchesFolded(s[:len(lower)], lower)
}

// matchesFolded reports whether s equals a lower-case name of the same length, ignoring case.
func matchesFolded(s, lower string) bool {
	for i := range len(lower) {
		if foldedChars[s[i]] != lower[i] {
			return false
		}
	}
	return true
}
