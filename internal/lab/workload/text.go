package workload

import (
	"encoding/binary"
	"fmt"
	"strings"
)

// Object ids of PostgreSQL's types.
const (
	oidInt4      = 23
	oidText      = 25
	oidDate      = 1082
	oidTextArray = 1009
)

// Format codes of a Bind message.
const (
	formatText   = 0
	formatBinary = 1
)

// textBuilder writes the text of a statement and collects its bound values. The style determines whether a
// value is a literal or bound.
type textBuilder struct {
	text      strings.Builder
	style     valueStyle
	lowerCase bool // keywords in lower case
	values    [][]byte
	formats   []byte // two bytes each
	types     []byte // four bytes each
}

// sql appends formatted SQL, in lower case if lowerCase is set. Keywords in the format must be in upper case.
func (b *textBuilder) sql(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	if b.lowerCase {
		text = strings.ToLower(text)
	}
	b.text.WriteString(text)
}

// literal appends formatted text without changing its case.
func (b *textBuilder) literal(format string, args ...any) {
	_, _ = fmt.Fprintf(&b.text, format, args...) // a strings.Builder returns no error
}

// bind appends a parameter and binds its value; nil is null.
func (b *textBuilder) bind(value []byte, format byte, oid uint32) {
	b.values = append(b.values, value)
	b.formats = append(b.formats, 0, format)
	b.types = binary.BigEndian.AppendUint32(b.types, oid)
	b.literal("$%d", len(b.values))
}

// textValue appends a value of type text.
func (b *textBuilder) textValue(value string) {
	if b.style == literalValues {
		b.literal("'%s'", value)
		return
	}
	b.bind([]byte(value), formatText, oidText)
}

// intValue appends a value of type integer.
func (b *textBuilder) intValue(value int) {
	switch b.style {
	case literalValues:
		b.literal("%d", value)
	case textValues:
		b.bind(fmt.Append(nil, value), formatText, oidInt4)
	default:
		b.bind(binary.BigEndian.AppendUint32(nil, uint32(value)), formatBinary, oidInt4)
	}
}

// The first modeled day is 2016-01-01. PostgreSQL's binary dates are numbers of days since 2000-01-01.
const (
	firstYear              = 2016
	daysPerYear            = 365
	daysPerMonth           = 31
	daysFrom2000ToFirstDay = 16*daysPerYear + 4
)

// dayValue appends a date, given as the number of days since the first modeled day. In dates that are
// written as text, each month has 31 days, and the days after the 28th are written as the 28th, so that every
// date is valid.
func (b *textBuilder) dayValue(number int) {
	const lastSafeDay = 28
	year := firstYear + number/daysPerYear
	month := 1 + number%daysPerYear/daysPerMonth
	day := 1 + number%daysPerYear%daysPerMonth
	date := fmt.Sprintf("%04d-%02d-%02d", year, month, min(day, lastSafeDay))
	switch b.style {
	case literalValues:
		b.literal("'%s'", date)
	case textValues:
		b.bind([]byte(date), formatText, oidDate)
	default:
		b.bind(binary.BigEndian.AppendUint32(nil, uint32(daysFrom2000ToFirstDay+number)), formatBinary, oidDate)
	}
}

// arrayValue appends a list of texts as one value of an array type.
func (b *textBuilder) arrayValue(list []string) {
	switch b.style {
	case literalValues:
		b.literal("'{%s}'", strings.Join(list, ","))
	case textValues:
		b.bind([]byte("{"+strings.Join(list, ",")+"}"), formatText, oidTextArray)
	default:
		b.bind(binaryArray(list), formatBinary, oidTextArray)
	}
}

// binaryArray returns PostgreSQL's binary form of a one-dimensional array of texts.
func binaryArray(list []string) []byte {
	const (
		dimensions = 1
		noNulls    = 0
		lowerBound = 1
	)
	var value []byte
	for _, word := range []int{dimensions, noNulls, oidText, len(list), lowerBound} {
		value = binary.BigEndian.AppendUint32(value, uint32(word))
	}
	for _, text := range list {
		value = append(binary.BigEndian.AppendUint32(value, uint32(len(text))), text...)
	}
	return value
}
