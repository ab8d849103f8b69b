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

// readBind reads a Bind past its names: formats, values and result formats. The values
// lie within the message.
func readBind(r *pgproto.Reader) (binds sqltext.Binds, ok bool) {
	start := r.Unread
	formatCount, ok := readFormats(r)
	if !ok {
		return binds, false
	}
	binds.Formats = start[countSize : countSize+formatCount*formatSize]
	valueCount := r.Count()
	if formatCount > 1 && formatCount != valueCount || r.Malformed {
		return binds, false
	}
	for range valueCount {
		value, ok := readValue(r)
		if !ok {
			return binds, false
		}
		binds.Values = append(binds.Values, value)
	}
	if _, ok = readFormats(r); !ok {
		return binds, false
	}
	return binds, r.Complete()
}

// readFormats skips a count and as many format codes, each of which must be known.
func readFormats(r *pgproto.Reader) (count int, ok bool) {
	count = r.Count()
	for range count {
		if format := r.Int16(); format != pgproto.FormatText && format != pgproto.FormatBinary {
			return count, false
		}
	}
	return count, !r.Malformed
}

// readValue reads one value, which is nil if it is null.
func readValue(r *pgproto.Reader) (value []byte, ok bool) {
	length := r.Int32()
	if length >= 0 {
		value = r.Bytes(length)
	} else if length != nullLength {
		return nil, false
	}
	return value, !r.Malformed
}
