package pgproto

// Statement is one execution of a statement with bound values, or a request to describe a statement.
type Statement struct {
	Query          string
	ParameterTypes []byte // the count and the types of the parameters, as in Parse
	Bind           []byte // the body of a Bind after its two names, unchanged
	DescribeOnly   bool   // the statement is only described and does not run
}

// Result is the response of an engine: the bodies of its messages, unchanged.
type Result struct {
	ParameterDescription []byte // set if only a description was requested
	RowDescription       []byte // nil: NoData
	DataRows             []byte // complete DataRow messages in order
	RowCount             int
	CommandTag           string // the tag in CommandComplete
	EmptyQuery           bool   // EmptyQueryResponse was received in place of CommandComplete
}

// fixedColumnSize is the number of bytes between a column's name and its format in a RowDescription.
const fixedColumnSize = 16

// formatSize is the size of a format code in bytes.
const formatSize = int16Size

// ApplyResultFormats returns a copy of the body of a RowDescription, and sets the formats of the columns in the copy:
// the description of a statement does not specify them. formats contains the format codes from a Bind: none, one for
// all columns, or one for each column.
func ApplyResultFormats(rowDescription, formats []byte) ([]byte, error) {
	described := append([]byte{}, rowDescription...)
	reader := Reader{Unread: described}
	for column := range reader.Count() {
		reader.CString()
		reader.Bytes(fixedColumnSize)
		format := reader.Bytes(formatSize)
		switch {
		case reader.Malformed:
			return nil, ErrMalformed
		case len(formats) == formatSize:
			copy(format, formats)
		case len(formats) >= formatSize*(column+1):
			copy(format, formats[formatSize*column:])
		}
	}
	return described, nil
}
