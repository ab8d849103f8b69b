package pgserver

import (
	"flaxrelay/internal/pgproto"
	"flaxrelay/internal/sqltext"
)

// Sizes of fields in messages, in bytes.
const (
	countSize  = 2 // a number of fields that follow
	formatSize = 2 // the format code of a value
	oidSize    = 4 // the object ID of a type
)

// nullLength is the length of a value that is null.
const nullLength = -1

// readBind reads a Bind past its names: formats, values and result formats. The formats
// and the values are slices of the message.
func readBind(reader *pgproto.Reader) (binds sqltext.Binds, ok bool) {
	start := reader.Unread
	formatCount, ok := readFormats(reader)
	if !ok {
		return binds, false
	}
	binds.Formats = start[countSize : countSize+formatCount*formatSize]
	valueCount := reader.Count()
	if formatCount > 1 && formatCount != valueCount || reader.Malformed {
		return binds, false
	}
	for range valueCount {
		value, ok := readValue(reader)
		if !ok {
			return binds, false
		}
		binds.Values = append(binds.Values, value)
	}
	if _, ok = readFormats(reader); !ok {
		return binds, false
	}
	return binds, reader.Complete()
}

// readFormats reads a count and as many format codes. It returns the count, and false
// if a code is unknown.
func readFormats(reader *pgproto.Reader) (count int, ok bool) {
	count = reader.Count()
	for range count {
		if format := reader.Int16(); format != pgproto.FormatText && format != pgproto.FormatBinary {
			return count, false
		}
	}
	return count, !reader.Malformed
}

// readValue reads one value, which is nil if it is null.
func readValue(reader *pgproto.Reader) (value []byte, ok bool) {
	length := reader.Int32()
	if length >= 0 {
		value = reader.Bytes(length)
	} else if length != nullLength {
		return nil, false
	}
	return value, !reader.Malformed
}
