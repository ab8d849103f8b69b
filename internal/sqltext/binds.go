package sqltext

import "encoding/binary"

// Binds are the bound values of one execution, as in a Bind message of PostgreSQL.
type Binds struct {
	Values   [][]byte // nil: null
	Formats  []byte   // format codes of two bytes each: none, one for all values, or one for each
	TypeOIDs []byte   // type OIDs of four bytes each, as of Parse or the engine; may be shorter than Values
}

const (
	formatSize   = 2 // size in bytes of a format code
	typeOIDSize  = 4 // size in bytes of a type OID
	binaryFormat = 1 // the format code of binary values
)

// parameter returns the value of a parameter. ok is false if none is bound.
func (b *Binds) parameter(number int32) (value []byte, binaryForm, ok bool) {
	n := int(number)
	if n < 1 || n > len(b.Values) {
		return nil, false, false
	}
	switch {
	case len(b.Formats) == formatSize: // one for all values
		binaryForm = b.Formats[formatSize-1] == binaryFormat
	case len(b.Formats) >= formatSize*n:
		binaryForm = b.Formats[formatSize*n-1] == binaryFormat
	}
	return b.Values[n-1], binaryForm, true
}

// typeOID returns the type of a parameter, or 0 if it is unknown.
func (b *Binds) typeOID(number int32) uint32 {
	n := int(number)
	if n < 1 || len(b.TypeOIDs) < typeOIDSize*n {
		return 0
	}
	return binary.BigEndian.Uint32(b.TypeOIDs[typeOIDSize*(n-1):])
}

// slotValue is the value of a slot in one execution.
type slotValue struct {
	text       string // of a literal, quotes included
	bound      []byte // of a parameter
	binaryForm bool
	typeOID    uint32
	known      bool // false: the parameter is not bound
	null       bool
}

// slotValue returns the value of a slot of the statement.
func (b *Binds) slotValue(stmt string, slot *Slot) (v slotValue) {
	if slot.Parameter <= 0 {
		v.text = stmt[slot.From:slot.To]
		v.known = true
		return v
	}
	v.bound, v.binaryForm, v.known = b.parameter(slot.Parameter)
	v.typeOID = b.typeOID(slot.Parameter)
	v.null = v.known && v.bound == nil
	return v
}

// maxPatternBytes limits the part of a bound pattern that is searched for its first wildcard.
const maxPatternBytes = 64

// pattern returns the pattern, or its beginning.
func (v *slotValue) pattern(slot *Slot) string {
	if slot.Parameter > 0 {
		return string(v.bound[:min(len(v.bound), maxPatternBytes)])
	}
	return unquote(v.text)
}

// listLength returns the number of alternatives of a list.
func (v *slotValue) listLength(slot *Slot) int {
	switch {
	case slot.Parameter > 0 && v.known:
		return arrayLength(v.bound, v.binaryForm)
	case slot.Parameter == 0 && slot.To > slot.From:
		return textArrayLength(unquote(v.text))
	}
	return int(slot.Count)
}

// maxNumberBytes limits the text of a number.
const maxNumberBytes = 40

// number returns the value as a number, dates and times as days.
func (v *slotValue) number() (x float64, ok bool) {
	if v.bound == nil {
		return parseNumber(v.text)
	}
	if v.binaryForm {
		return parseBinaryNumber(v.bound, v.typeOID)
	}
	if len(v.bound) > maxNumberBytes {
		return 0, false
	}
	return parseNumber(string(v.bound))
}
