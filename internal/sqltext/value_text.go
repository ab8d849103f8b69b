package sqltext

import (
	"math"
	"strconv"
	"strings"
)

// unquote removes the delimiters of a string. It leaves doubled quotes within the string as they are.
func unquote(s string) string {
	const maxPrefixLength = len("U&")
	if i := strings.IndexByte(s, '\''); i >= 0 && i <= maxPrefixLength {
		s = s[i+1:]
		return strings.TrimSuffix(s, "'")
	}
	if len(s) > 1 && s[0] == '$' {
		if i := strings.IndexByte(s[1:], '$'); i >= 0 {
			tagLength := i + len("$$")
			if len(s) >= tagLength+tagLength {
				return s[tagLength : len(s)-tagLength]
			}
		}
	}
	return s
}

// firstWildcard returns the position of the first wildcard of a pattern. The wildcard of a regular expression is
// leading if the first special character is at the start or directly after the anchor ^.
func firstWildcard(pattern string) Wildcard {
	for i := range len(pattern) {
		switch pattern[i] {
		case '%', '_', '.', '*', '(', '[', '|':
			if i == 0 || i == 1 && pattern[0] == '^' {
				return LeadingWildcard
			}
			return InnerWildcard
		case '\\':
			return InnerWildcard
		}
	}
	return NoWildcard
}

// textArrayLength counts the elements of an array in text form, such as {a,"b,c"}.
func textArrayLength(s string) int {
	const shortest = len("{a}")
	if len(s) < shortest || s[0] != '{' {
		return 0
	}
	length := 1
	quoted := false
	for i := 1; i < len(s); i++ {
		switch s[i] {
		case '\\':
			i++
		case '"':
			quoted = !quoted
		case ',':
			if !quoted {
				length++
			}
		}
	}
	return length
}

// maxCountedArrayBytes limits the part of a bound array in text form whose elements are counted. The length of a
// longer array is extrapolated.
const maxCountedArrayBytes = 1 << 16

// boundTextArrayLength returns the number of elements of a bound array in text form, or 0 if the array is malformed.
// The number is an estimate for an array that is longer than maxCountedArrayBytes.
func boundTextArrayLength(array []byte) int {
	counted := array[:min(len(array), maxCountedArrayBytes)]
	return textArrayLength(string(counted)) * max(1, len(array)/maxCountedArrayBytes)
}

// floatBits is the size of a number in bits, for strconv.ParseFloat.
const floatBits = 64

// parseNumber parses a literal or a value in text form as a number. It returns a date as days since 2000-01-01.
func parseNumber(text string) (number float64, ok bool) {
	text = unquote(text)
	if days, ok := parseDate(text); ok {
		return days, true
	}
	if len(text) > maxNumberBytes || len(text) == 0 {
		return 0, false
	}
	number, err := strconv.ParseFloat(text, floatBits)
	if err != nil {
		return number, false
	}
	return finite(number)
}

// parseDate parses the date at the start of a text and returns it as days since 2000-01-01.
func parseDate(s string) (days float64, ok bool) {
	const (
		yearEnd     = len("2000")
		monthEnd    = len("2000-01")
		dayEnd      = len("2000-01-01")
		firstMonth  = 1
		latestMonth = 12
	)
	if len(s) < dayEnd || s[yearEnd] != '-' || s[monthEnd] != '-' {
		return 0, false
	}
	year, yearOK := parseDigits(s[:yearEnd])
	month, monthOK := parseDigits(s[yearEnd+1 : monthEnd])
	day, dayOK := parseDigits(s[monthEnd+1 : dayEnd])
	if !yearOK || !monthOK || !dayOK || month < firstMonth || month > latestMonth {
		return 0, false
	}
	return float64(daysFromCivil(year, month, day)), true
}

// parseDigits parses a text that must consist of digits only.
func parseDigits(s string) (n int, ok bool) {
	for _, c := range []byte(s) {
		if c < '0' || c > '9' {
			return 0, false
		}
		n = n*decimal + int(c-'0')
	}
	return n, true
}

// daysFromCivil returns the number of days from 2000-01-01 to a date of the Gregorian
// calendar (Hinnant, "chrono-Compatible Low-Level Date Algorithms").
//
//nolint:mnd // the numbers are those of the published algorithm
func daysFromCivil(year, month, day int) int {
	const epoch = 730425 // 2000-01-01, in days since 0000-03-01
	if month <= 2 {      // the year begins in March, so that the leap day is its last
		year--
		month += 12
	}
	leapDays := year/4 - year/100 + year/400
	daysBeforeMonth := (153*(month-3) + 2) / 5
	return 365*year + leapDays + daysBeforeMonth + day - 1 - epoch
}

// parseInterval parses an interval such as '3 months' or '1 year 2 days' and returns its length in days. ok is
// false if the text does not begin with a number.
func parseInterval(text string) (days float64, ok bool) {
	const maxFields = 4
	for n := 0; n < maxFields && text != ""; n++ {
		text = strings.TrimLeft(text, " ")
		number := text[:prefixLength(text, isNumberChar)]
		quantity, err := strconv.ParseFloat(number, floatBits)
		if err != nil {
			return days, ok
		}
		text = strings.TrimLeft(text[len(number):], " ")
		unit := text[:prefixLength(text, isUnitChar)]
		days += unitDays(quantity, unit)
		text = text[len(unit):]
		ok = true
	}
	return days, ok
}

// prefixLength returns the length of the longest prefix of text whose characters all match.
func prefixLength(text string, matches func(byte) bool) int {
	length := 0
	for length < len(text) && matches(text[length]) {
		length++
	}
	return length
}

func isNumberChar(c byte) bool { return isDigit(c) || c == '.' || c == '-' || c == '+' }
func isUnitChar(c byte) bool   { return charClasses[c]&charNameStart != 0 }

// unitDays returns the absolute length in days of a quantity of one unit. The name of the unit may be abbreviated.
// If there is no unit, the quantity is in seconds.
func unitDays(quantity float64, unit string) float64 {
	const (
		daysPerYear   = 365.25
		daysPerMonth  = 30.4
		daysPerWeek   = 7
		hoursPerDay   = 24
		minutesPerDay = 1440
		secondsPerDay = 86400
	)
	switch {
	case hasPrefixFold(unit, "y"):
		quantity *= daysPerYear
	case hasPrefixFold(unit, "mon"):
		quantity *= daysPerMonth
	case hasPrefixFold(unit, "w"):
		quantity *= daysPerWeek
	case hasPrefixFold(unit, "d"):
	case hasPrefixFold(unit, "h"):
		quantity /= hoursPerDay
	case hasPrefixFold(unit, "mi"), unit == "m":
		quantity /= minutesPerDay
	default:
		quantity /= secondsPerDay
	}
	return math.Abs(quantity)
}
