package pgserver

import (
	"flaxrelay/internal/pgproto"
	"flaxrelay/internal/sqltext"
)

// Sizes of fields in messages, in bytes.
const (
	countSize  = 2 // the number of fields that follow
	formatSize = 2 // the format code of a value
	oidSize    = 4 // the object ID of a type

	valueLengthSize = 4 // the length of a value
)

// nullLength is the length field of a null value.
const nullLength = -1

// readBind reads a Bind after its two names: the bound values with their formats, and the format codes of the result's
// columns. All returned values are slices of the message.
func readBind(reader *pgproto.Reader) (binds sqltext.Binds, resultFormats []byte, ok bool) {
	formats, ok := readFormats(reader)
	if !ok {
		return binds, nil, false
	}
	valueCount := reader.Count()
	formatCount := len(formats) / formatSize
	if formatCount > 1 && formatCount != valueCount || reader.Malformed {
		return binds, nil, false
	}
	binds.Formats = formats
	binds.Values = make([][]byte, 0, min(valueCount, len(reader.Unread)/valueLengthSize))
	for range valueCount {
		value, ok := readValue(reader)
		if !ok {
			return binds, nil, false
		}
		binds.Values = append(binds.Values, value)
	}
	resultFormats, ok = readFormats(reader)
	return binds, resultFormats, ok && reader.Complete()
}

// readFormats reads a count and that many format codes. ok is false if a code is unknown or missing.
func readFormats(reader *pgproto.Reader) (formats []byte, ok bool) {
	formats = reader.Bytes(formatSize * reader.Count())
	codes := pgproto.Reader{Unread: formats}
	for len(codes.Unread) > 0 {
		if format := codes.Int16(); format != pgproto.FormatText && format != pgproto.FormatBinary {
			return nil, false
		}
	}
	return formats, !reader.Malformed
}

// readValue reads one value. A null value is returned as nil.
func readValue(reader *pgproto.Reader) (value []byte, ok bool) {
	length := reader.Int32()
	if length >= 0 {
		value = reader.Bytes(length)
	} else if length != nullLength {
		return nil, false
	}
	return value, !reader.Malformed
}
