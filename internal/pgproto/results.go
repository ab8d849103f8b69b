package pgproto

import "encoding/binary"

// Statement is one execution of a statement with bound values, or a request to describe a
// statement.
type Statement struct {
	Query          string
	ParameterTypes []byte // the count and the types of the parameters, as in Parse
	Bind           []byte // the body of a Bind past its two names, unchanged
	DescribeOnly   bool   // the statement is described and does not run
}

// Result is the response of an engine: the bodies of its messages, unchanged.
type Result struct {
	ParameterDescription []byte // set if only a description was requested
	RowDescription       []byte // nil: NoData
	DataRows             []byte // complete DataRow messages in order
	RowCount             int
	CommandTag           string // of CommandComplete
	EmptyQuery           bool   // EmptyQueryResponse was received in place of CommandComplete
}

// fixedColumnSize is the number of bytes between a column's name and its format in a
// RowDescription.
const fixedColumnSize = 16

// formatSize is the size of a format code in bytes.
const formatSize = int16Size

// ApplyResultFormats returns a copy of the body of a RowDescription with the result
// formats of a Bind, whose body past its names is given. The description of a statement
// has no formats of its own.
func ApplyResultFormats(fields, bind []byte) ([]byte, error) {
	formats, err := resultFormats(bind)
	if err != nil {
		return nil, err
	}
	described := append([]byte{}, fields...)
	reader := Reader{Unread: described}
	for column := range reader.Count() {
		reader.CString()
		reader.Bytes(fixedColumnSize)
		format := reader.Bytes(formatSize)
		switch {
		case reader.Malformed:
			return nil, ErrMalformed
		case len(formats) == 1: // one format applies to all columns
			binary.BigEndian.PutUint16(format, uint16(formats[0]))
		case column < len(formats):
			binary.BigEndian.PutUint16(format, uint16(formats[column]))
		}
	}
	return described, nil
}

// resultFormats returns the result formats of a Bind, whose body past its names is given.
func resultFormats(bind []byte) ([]int, error) {
	reader := Reader{Unread: bind}
	reader.Bytes(formatSize * reader.Count())
	for range reader.Count() {
		if length := reader.Int32(); length > 0 {
			reader.Bytes(length)
		}
		if reader.Malformed {
			return nil, ErrMalformed
		}
	}
	formats := make([]int, reader.Count())
	for i := range formats {
		formats[i] = reader.Int16()
		if reader.Malformed {
			return nil, ErrMalformed
		}
	}
	return formats, nil
}
