package pgproto

import "encoding/binary"

// Statement is one bound execution, or a request to describe a statement.
type Statement struct {
	Query          string
	ParameterTypes []byte // the count and the types of the parameters, as in Parse
	Bind           []byte // the body of a Bind past its two names, unchanged
	DescribeOnly   bool   // describe only: nothing runs
}

// Result is what an engine answered: the bodies of its messages, unchanged.
type Result struct {
	ParameterDescription []byte // of ParameterDescription, where only a description was requested
	RowDescription       []byte // of RowDescription; nil: NoData
	DataRows             []byte // complete DataRow messages in order
	RowCount             int    // of rows
	CommandTag           string // of CommandComplete
	EmptyQuery           bool   // EmptyQueryResponse came in place of CommandComplete
}

// fixedColumnSize is the bytes between a column's name and its format in a
// RowDescription.
const fixedColumnSize = 16

// ApplyResultFormats returns a copy of the body of a RowDescription that has the result formats of a
// Bind, whose body past its names is given. A statement's own description has none yet.
func ApplyResultFormats(fields, bind []byte) ([]byte, error) {
	formats, err := resultFormats(bind)
	if err != nil {
		return nil, err
	}
	described := append([]byte{}, fields...)
	r := Reader{Unread: described}
	for column := range r.Count() {
		r.CString()
		r.Bytes(fixedColumnSize)
		format := r.Bytes(2)
		switch {
		case r.Malformed:
			return nil, ErrMalformed
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
	r := Reader{Unread: bind}
	r.Bytes(2 * r.Count())
	for range r.Count() {
		if length := r.Int32(); length > 0 {
			r.Bytes(length)
		}
		if r.Malformed {
			return nil, ErrMalformed
		}
	}
	formats := make([]int, r.Count())
	for i := range formats {
		if formats[i] = r.Int16(); r.Malformed {
			return nil, ErrMalformed
		}
	}
	return formats, nil
}
