package pgproto

import (
	"bytes"
	"encoding/binary"
)

// CString returns a string as messages hold it: ended by a zero byte.
func CString(s string) []byte { return append([]byte(s), 0) }

// Int32 returns a number as messages hold it.
func Int32(n int) []byte { return binary.BigEndian.AppendUint32(nil, uint32(n)) }

// Reader reads the fields of a body in turn. Past the end it returns zero values and sets
// Malformed.
type Reader struct {
	Unread    []byte // what is not read yet
	Malformed bool   // a field was missing or cut short
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
	if field := r.Bytes(2); field != nil {
		return int(int16(binary.BigEndian.Uint16(field)))
	}
	return 0
}

// Count reads an unsigned number of two bytes, which counts the fields that follow.
func (r *Reader) Count() int { return r.Int16() & 0xffff }

// Int32 reads a signed number of four bytes.
func (r *Reader) Int32() int {
	if field := r.Bytes(4); field != nil {
		return int(int32(binary.BigEndian.Uint32(field)))
	}
	return 0
}

// Complete reports whether all was read and nothing was missing.
func (r *Reader) Complete() bool { return !r.Malformed && len(r.Unread) == 0 }

func (r *Reader) fail() { r.Malformed, r.Unread = true, nil }
