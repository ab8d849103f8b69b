package sqltext

import "encoding/binary"

// Binds holds the bound values of one execution, encoded as in PostgreSQL's Bind message.
type Binds struct {
	Values   [][]byte // nil: null
	Formats  []byte   // format codes of two bytes each: none, one for all values, or one for each
	TypeOIDs []byte   // type OIDs of four bytes each, from Parse or the engine; may be fewer than Values
}

const (
	formatSize   = 2 // size in bytes of a format code
	typeOIDSize  = 4 // size in bytes of a type OID
	binaryFormat = 1 // the format code of binary values
)

// parameter returns the value of the parameter with the given number, counted from 1. The form of the value is
// formUnbound if the execution has no such parameter.
func (b *Binds) parameter(number int32) slotValue {
	n := int(number)
	if n < 1 || n > len(b.Values) {
		return slotValue{form: formUnbound}
	}
	value := slotValue{form: formText, bound: b.Values[n-1], typeOID: b.typeOID(n)}
	if value.bound == nil {
		value.form = formNull
	} else if b.isBinary(n) {
		value.form = formBinary
	}
	return value
}

// isBinary reports whether the value of parameter n is in binary form.
func (b *Binds) isBinary(n int) bool {
	if len(b.Formats) == formatSize { // one format for all values
		n = 1
	}
	return len(b.Formats) >= formatSize*n && b.Formats[formatSize*n-1] == binaryFormat
}

// typeOID returns the type of parameter n, or 0 if it is unknown.
func (b *Binds) typeOID(n int) uint32 {
	if len(b.TypeOIDs) < typeOIDSize*n {
		return 0
	}
	return binary.BigEndian.Uint32(b.TypeOIDs[typeOIDSize*(n-1):])
}

// valueForm is the form of the value of a slot in one execution.
type valueForm uint8

const (
	formLiteral valueForm = iota // in the text of the statement
	formText                     // bound, in text form
	formBinary                   // bound, in binary form
	formNull                     // bound to null
	formUnbound                  // a parameter without a bound value
)

// slotValue is the value of a slot in one execution.
type slotValue struct {
	form    valueForm
	literal string // of formLiteral, including the quotes
	bound   []byte // of formText and formBinary
	typeOID uint32 // of a bound value; 0: unknown
}

// slotValue returns the value of a slot of the statement.
func (b *Binds) slotValue(stmt string, slot *Slot) slotValue {
	if slot.Parameter <= 0 {
		return slotValue{form: formLiteral, literal: stmt[slot.From:slot.To]}
	}
	return b.parameter(slot.Parameter)
}

// maxPatternBytes limits the part of a bound pattern that is searched for the first wildcard.
const maxPatternBytes = 64

// pattern returns the text of a value that is a LIKE pattern or a regular expression. A bound pattern is cut off after
// maxPatternBytes. The text is "" if the parameter has no bound value.
func (v *slotValue) pattern() string {
	if v.form == formLiteral {
		return unquote(v.literal)
	}
	return string(v.bound[:min(len(v.bound), maxPatternBytes)])
}

// listLength returns the number of alternatives of a list. For an array, this is the length of the array. If the
// statement lists the alternatives one by one, the caller passes their number as listed.
func (v *slotValue) listLength(listed int32) int {
	switch {
	case v.form == formText:
		return boundTextArrayLength(v.bound)
	case v.form == formBinary:
		return binaryArrayLength(v.bound)
	case v.literal != "":
		return textArrayLength(unquote(v.literal))
	}
	return int(listed)
}

// maxNumberBytes limits the length of a number in text form.
const maxNumberBytes = 40

// number returns the value as a number. Dates and timestamps are converted to days since 2000-01-01. ok is false for
// all other values.
func (v *slotValue) number() (x float64, ok bool) {
	switch v.form {
	case formLiteral:
		return parseNumber(v.literal)
	case formBinary:
		return parseBinaryNumber(v.bound, v.typeOID)
	case formText:
		if len(v.bound) > maxNumberBytes {
			return 0, false
		}
		return parseNumber(string(v.bound))
	case formNull, formUnbound:
	}
	return 0, false
}
