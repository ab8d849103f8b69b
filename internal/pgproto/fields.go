package pgproto

import (
	"bytes"
	"encoding/binary"
)

// Sizes of the numbers in messages, in bytes.
const (
	int16Size = 2
	int32Size = 4
)

// CString encodes a string, which ends with a zero byte.
func CString(s string) []byte { return append([]byte(s), 0) }

// Int32 encodes a number in four bytes, in network byte order.
func Int32(n int) []byte { return binary.BigEndian.AppendUint32(nil, uint32(n)) }

// Reader reads the fields of a message body one after another. If a field is missing or truncated, the Reader sets
// Malformed and returns zero values from then on.
type Reader struct {
	Unread    []byte // the rest of the body
	Malformed bool
}

// Bytes reads n bytes.
func (r *Reader) Bytes(n int) []byte {
	if n < 0 || n > len(r.Unread) {
		r.fail()
		return nil
	}
	field := r.Unread[:n]
	r.Unread = r.Unread[n:]
	return field
}

// CString reads a string up to its zero byte.
func (r *Reader) CString() string {
	end := bytes.IndexByte(r.Unread, 0)
	if end < 0 {
		r.fail()
		return ""
	}
	s := string(r.Unread[:end])
	r.Unread = r.Unread[end+1:]
	return s
}

// Byte reads one byte.
func (r *Reader) Byte() byte {
	if field := r.Bytes(1); field != nil {
		return field[0]
	}
	return 0
}

// Int16 reads a signed number of two bytes.
func (r *Reader) Int16() int {
	if field := r.Bytes(int16Size); field != nil {
		return int(int16(binary.BigEndian.Uint16(field)))
	}
	return 0
}

// Count reads an unsigned number of two bytes, which counts the fields that follow.
func (r *Reader) Count() int {
	if field := r.Bytes(int16Size); field != nil {
		return int(binary.BigEndian.Uint16(field))
	}
	return 0
}

// Int32 reads a signed number of four bytes.
func (r *Reader) Int32() int {
	if field := r.Bytes(int32Size); field != nil {
		return int(int32(binary.BigEndian.Uint32(field)))
	}
	return 0
}

// Complete reports whether the whole body was read and no field was missing.
func (r *Reader) Complete() bool { return !r.Malformed && len(r.Unread) == 0 }

func (r *Reader) fail() {
	r.Malformed = true
	r.Unread = nil
}
