package pgproto

import (
	"bytes"
	"errors"
	"testing"
)

// describeColumns returns the body of a RowDescription with one column for each format code.
func describeColumns(formats ...byte) []byte {
	body := []byte{0, byte(len(formats))}
	for _, format := range formats {
		body = append(body, CString("column")...)
		body = append(body, make([]byte, fixedColumnSize)...)
		body = append(body, 0, format)
	}
	return body
}

func TestApplyResultFormats_OneFormatAppliesToAllColumns(t *testing.T) {
	for name, tt := range map[string]struct {
		formats []byte
		want    []byte
	}{
		"none":                      {nil, describeColumns(FormatText, FormatText)},
		"one for all columns":       {[]byte{0, 1}, describeColumns(FormatBinary, FormatBinary)},
		"one for each column":       {[]byte{0, 0, 0, 1}, describeColumns(FormatText, FormatBinary)},
		"more formats than columns": {[]byte{0, 1, 0, 0, 0, 1}, describeColumns(FormatBinary, FormatText)},
	} {
		got, err := ApplyResultFormats(describeColumns(FormatText, FormatText), tt.formats)
		if err != nil || !bytes.Equal(got, tt.want) {
			t.Errorf("%s: got %v, %v; want %v", name, got, err, tt.want)
		}
	}
}

func TestApplyResultFormats_LeavesItsInputUnchanged(t *testing.T) {
	description := describeColumns(FormatText)
	_, err := ApplyResultFormats(description, []byte{0, 1})
	if err != nil || !bytes.Equal(description, describeColumns(FormatText)) {
		t.Errorf("the description is %v, %v", description, err)
	}
}

func TestApplyResultFormats_TruncatedDescriptionIsAnError(t *testing.T) {
	description := describeColumns(FormatText)
	for size := int16Size; size < len(description); size++ {
		if _, err := ApplyResultFormats(description[:size], nil); !errors.Is(err, ErrMalformed) {
			t.Errorf("%d of %d bytes: %v", size, len(description), err)
		}
	}
}
