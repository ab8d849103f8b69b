package pgproto

import "encoding/binary"

// Statement is one bound execution, or a request to describe a statement.
type Statement struct {
	Query    string
	Types    []byte // the count and the types of the parameters, as in Parse
	Bind     []byte // the body of a Bind past its two names, as it came
	Describe bool   // describe only: nothing runs
}

// Result is what an engine answered: the bodies of its messages as they came.
type Result struct {
	Params []byte // of ParameterDescription, where only a description was requested
	Fields []byte // of RowDescription; nil: NoData
	Rows   []byte // complete DataRow messages in order
	Count  int    // of rows
	Tag    string // of CommandComplete
	Empty  bool   // EmptyQueryResponse came in place of CommandComplete
}

// fixedColumnSize is the bytes between a column's name and its format in a
// RowDescription.
const fixedColumnSize = 16

// Formats returns a copy of the body of a RowDescription that has the result formats of a
// Bind, whose body past its names is given. A statement's own description has none yet.
func Formats(fields, bind []byte) ([]byte, error) {
	formats, err := resultFormats(bind)
	if err != nil {
		return nil, err
	}
	described := append([]byte{}, fields...)
	r := Reader{B: described}
	for column := range r.Count() {
		r.Str()
		r.Bytes(fixedColumnSize)
		format := r.Bytes(2)
		switch {
		case r.Bad:
			return nil, Malformed
		case len(formats) == 1: // it holds for all columns
			binary.BigEndian.PutUint16(format, uint16(formats[0]))
		case column < len(formats):
			binary.BigEndian.PutUint16(format, uint16(formats[column]))
		}
	}
	return described, nil
}

// resultFormats returns the result formats of a Bind, whose body past its names is given.
func resultFormats(bind []byte) ([]int, error) {
	r := Reader{B: bind}
	r.Bytes(2 * r.Count())
	for range r.Count() {
		if length := r.Int32(); length > 0 {
			r.Bytes(length)
		}
		if r.Bad {
			return nil, Malformed
		}
	}
	formats := make([]int, r.Count())
	for i := range formats {
		if formats[i] = r.Int16(); r.Bad {
			return nil, Malformed
		}
	}
	return formats, nil
}
