package sqltext

import (
	"math"
	"strconv"
	"strings"
)

// unquote removes the delimiters of a string. Doubled quotes within it stay.
func unquote(s string) string {
	const maxPrefixLength = len("U&")
	if i := strings.IndexByte(s, '\''); i >= 0 && i <= maxPrefixLength {
		s = s[i+1:]
		return strings.TrimSuffix(s, "'")
	}
	if len(s) > 1 && s[0] == '$' {
		if i := strings.IndexByte(s[1:], '$'); i >= 0 && len(s) >= 2*(i+2) {
			return s[i+2 : len(s)-i-2]
		}
	}
	return s
}

// firstWildcard returns the position of the first wildcard of a pattern. A regular
// expression counts as one with a leading wildcard where its first special character
// stands at the start, an anchor aside.
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
	if len(s) < 3 || s[0] != '{' {
		return 0
	}
	length, quoted := 1, false
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

// parseNumber parses a literal or a value in text form as a number, or a date as days.
func parseNumber(text string) (x float64, ok bool) {
	text = unquote(text)
	if days, ok := parseDate(text); ok {
		return days, true
	}
	if len(text) > maxNumberBytes || len(text) == 0 {
		return 0, false
	}
	x, err := strconv.ParseFloat(text, 64)
	if err != nil {
		return x, false
	}
	return finite(x)
}

// parseDate parses the date that a text begins with, as days since 2000-01-01.
func parseDate(s string) (days float64, ok bool) {
	if len(s) < 10 || s[4] != '-' || s[7] != '-' {
		return 0, false
	}
	year, ok1 := parseDigits(s[:4])
	month, ok2 := parseDigits(s[5:7])
	day, ok3 := parseDigits(s[8:10])
	if !ok1 || !ok2 || !ok3 || month < 1 || month > 12 {
		return 0, false
	}
	return float64(daysFromCivil(year, month, day)), true
}

func parseDigits(s string) (n int, ok bool) {
	for _, c := range []byte(s) {
		if c < '0' || c > '9' {
			return 0, false
		}
		n = n*10 + int(c-'0')
	}
	return n, true
}

// daysFromCivil returns the number of days from 2000-01-01 to a date of the Gregorian
// calendar (Hinnant, "chrono-Compatible Low-Level Date Algorithms").
func daysFromCivil(year, month, day int) int {
	const epoch = 730425 // 2000-01-01, in days since 0000-03-01
	if month <= 2 {      // the year begins in March, so that the leap day is its last
		year--
		month += 12
	}
	return 365*year + year/4 - year/100 + year/400 + (153*(month-3)+2)/5 + day - 1 - epoch
}

// parseInterval parses an interval such as '3 months' or '1 year 2 days', as days. ok is
// false where it begins with no number.
func parseInterval(s string) (days float64, ok bool) {
	const maxFields = 4
	for n := 0; n < maxFields && s != ""; n++ {
		s = strings.TrimLeft(s, " ")
		i := 0
		for i < len(s) && (isDigit(s[i]) || s[i] == '.' || s[i] == '-' || s[i] == '+') {
			i++
		}
		quantity, err := strconv.ParseFloat(s[:i], 64)
		if err != nil {
			return days, ok
		}
		s = strings.TrimLeft(s[i:], " ")
		i = 0
		for i < len(s) && charClasses[s[i]]&charNameStart != 0 {
			i++
		}
		days += unitDays(quantity, s[:i])
		s, ok = s[i:], true
	}
	return days, ok
}

// unitDays returns the absolute length in days of an interval of one unit, which may be
// abbreviated. Without a unit, the quantity is in seconds.
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
