package golden

import (
	"bytes"
	"strconv"
)

// firstDifference returns the first line in which two unequal texts differ: its number, counted from
// 1, and the line of each text, with its line ending. If a text has no such line, its line is empty.
func firstDifference(got, want []byte) (number int, gotLine, wantLine []byte) {
	for {
		number++
		gotLine, got = cutLine(got)
		wantLine, want = cutLine(want)
		ended := len(gotLine) == 0 && len(wantLine) == 0
		if ended || !bytes.Equal(gotLine, wantLine) {
			return number, gotLine, wantLine
		}
	}
}

// cutLine splits a text after its first line ending.
func cutLine(text []byte) (line, rest []byte) {
	end := bytes.IndexByte(text, '\n') + 1
	if end == 0 {
		end = len(text)
	}
	return text[:end], text[end:]
}

// describeLine quotes a line, so that its line ending and other control characters are visible.
func describeLine(line []byte) string {
	if len(line) == 0 {
		return "(end of the text)"
	}
	return strconv.Quote(string(line))
}
