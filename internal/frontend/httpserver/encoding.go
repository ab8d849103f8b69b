package httpserver

import (
	"bytes"

	"flaxrelay/internal/engine/lineclient"
)

// usualEnvelopeSize is the usual number of bytes of JSON before and after the rows. Buffers are allocated with this
// reserve, so that they seldom need to grow.
const usualEnvelopeSize = 64

// encodeRows encodes rows of tab-separated columns as JSON arrays of strings. It includes the path of the next page
// unless that is empty.
func encodeRows(rows lineclient.Rows, nextPath string) []byte {
	size := usualEnvelopeSize
	for _, page := range rows {
		size += len(page) + len(page)/2 // quotes and commas add about half
	}
	b := append(make([]byte, 0, size), '{')
	if nextPath != "" {
		b = append(b, `"more":`...)
		b = appendString(b, []byte(nextPath))
		b = append(b, ',')
	}
	b = append(b, `"result":[`...)
	first := true
	for _, page := range rows {
		for len(page) > 0 {
			var row []byte
			row, page, _ = bytes.Cut(page, []byte{'\n'})
			if !first {
				b = append(b, ',')
			}
			first = false
			b = appendRow(b, row)
		}
	}
	return append(b, "]}"...)
}

// appendRow appends one row, without the LF at its end.
func appendRow(b, row []byte) []byte {
	b = append(b, '[')
	for i, column := range bytes.Split(row, []byte{'\t'}) {
		if i > 0 {
			b = append(b, ',')
		}
		b = appendString(b, column)
	}
	return append(b, ']')
}

// encodeError encodes the body of an error response.
func encodeError(message string) []byte {
	b := appendString([]byte(`{"fault":`), []byte(message))
	return append(b, '}')
}

// appendString appends a JSON string. All bytes are copied unchanged except those that JSON requires to be escaped.
func appendString(b, s []byte) []byte {
	const (
		hexDigits    = "0123456789abcdef"
		firstPlain   = ' ' // the bytes below are control characters
		highNibble   = 4   // bits to shift
		lowNibble    = 0xf
		escapePrefix = `\u00`
	)
	b = append(b, '"')
	for _, char := range s {
		switch {
		case char == '"' || char == '\\':
			b = append(b, '\\', char)
		case char < firstPlain:
			b = append(b, escapePrefix...)
			b = append(b, hexDigits[char>>highNibble], hexDigits[char&lowNibble])
		default:
			b = append(b, char)
		}
	}
	return append(b, '"')
}
