package sqltext

import "bytes"

// foldedList is a list whose elements are folded into one in the normal form: the alternatives of IN or ARRAY,
// or the rows of VALUES. Positions and lengths are in bytes of the normal form.
type foldedList struct {
	depth          int // nesting depth of parentheses and brackets at the commas of the list
	isRows         bool
	start          int // start of the first element
	firstLength    int // length of the first element; unknownLength: it is not complete yet
	elementStart   int // start of the current element
	count          int // number of complete elements
	slot           int // index of the slot with the number of elements, or noSlot
	plainRowLength int // number of values in the first row if it contains nothing else, or 0
}

const (
	unknownLength = -1
	noSlot        = -1
)

func newFoldedList(depth, start int) foldedList {
	return foldedList{depth: depth, start: start, elementStart: start, firstLength: unknownLength, slot: noSlot}
}

// maxNestedLists limits the nesting of lists that are folded.
const maxNestedLists = 8

// listStack is the stack of open lists, the innermost last.
type listStack struct {
	entries [maxNestedLists]foldedList
	count   int
}

func (s *listStack) full() bool { return s.count == maxNestedLists }

// push adds a list. The stack must not be full.
func (s *listStack) push(list foldedList) {
	s.entries[s.count] = list
	s.count++
}

// innermost returns the innermost list. At least one list must be open.
func (s *listStack) innermost() *foldedList { return &s.entries[s.count-1] }

// beginAlternatives begins a list of alternatives. The opening parenthesis or bracket of the list must have been added
// already.
func (p *analysisPass) beginAlternatives() {
	list := newFoldedList(p.depth, len(p.normal.text))
	if !p.slots.full() {
		list.slot = p.slots.add(Slot{Role: RoleList, Column: p.expected.comparedColumn})
	}
	p.result.Restrictions++
	p.expected.role = RoleList
	p.lists.push(list)
}

// beginRows begins the rows of VALUES.
func (p *analysisPass) beginRows() {
	list := newFoldedList(p.depth, len(p.normal.text))
	list.isRows = true
	p.lists.push(list)
}

// inAlternatives reports whether a value at the current position is an element of a list of alternatives.
func (p *analysisPass) inAlternatives() bool {
	if p.lists.count == 0 {
		return false
	}
	list := p.lists.innermost()
	return !list.isRows && list.depth == p.depth
}

// trackElement ends the current element or the whole list, if the token t does so. At least one list must be open.
func (p *analysisPass) trackElement(t Token) {
	list := p.lists.innermost()
	switch {
	case p.depth < list.depth:
		p.endLists(p.depth)
	case p.depth > list.depth:
	case t.Kind == Comma:
		p.endElement(list)
		switch {
		case list.isRows && list.plainRowLength > 0:
			p.skipRows(list)
		case !list.isRows && list.firstLength == 1 && p.normal.text[list.start] == '?':
			p.skipElements(list)
		}
		list.elementStart = len(p.normal.text)
	case t.Kind == RightParen || t.Kind == RightBracket:
		p.endLists(p.depth - 1)
	case list.isRows && t.Kind != LeftParen:
		p.endLists(p.depth - 1)
	}
}

// skipElements skips the next elements of a list that are plain values with a comma after them. The last element has no
// comma after it, so it is not skipped. The first element must be a plain value. Skipping matters because the longest
// statements are those with lists of thousands of values.
func (p *analysisPass) skipElements(list *foldedList) {
	for {
		next := p.lexer
		if kind := next.Next().Kind; kind != String && kind != Number {
			return
		}
		if next.Next().Kind != Comma {
			return
		}
		p.result.Features.Values++
		list.count++
		p.lexer = next
	}
}

// plainRowLength returns the number of values of a row that contains nothing but plain values, such as (?, ?, ?),
// and 0 for other rows.
func plainRowLength(row []byte) int {
	const (
		valuePattern  = "?, "
		bytesPerValue = len(valuePattern) // the two parentheses make up for the missing last separator
	)
	if len(row) < bytesPerValue || len(row)%bytesPerValue != 0 || row[0] != '(' || row[len(row)-1] != ')' {
		return 0
	}
	for i, c := range row[1 : len(row)-1] {
		if c != valuePattern[i%bytesPerValue] {
			return 0
		}
	}
	return len(row) / bytesPerValue
}

// skipRows skips the next rows that consist of as many plain values as the first row and have a comma after them. The
// last row has no comma after it, so it is not skipped.
func (p *analysisPass) skipRows(list *foldedList) {
	for {
		next := p.lexer
		if !skipPlainRow(&next, list.plainRowLength) || next.Next().Kind != Comma {
			return
		}
		p.result.Features.Values += int32(list.plainRowLength)
		list.count++
		p.lexer = next
	}
}

// skipPlainRow skips a row of the given number of plain values. It returns false if the next tokens are not such
// a row.
func skipPlainRow(l *Lexer, length int) bool {
	if l.Next().Kind != LeftParen {
		return false
	}
	for n := 1; ; n++ {
		if kind := l.Next().Kind; kind != String && kind != Number {
			return false
		}
		kind := l.Next().Kind
		if kind == RightParen && n == length {
			return true
		}
		if kind != Comma || n >= length {
			return false
		}
	}
}

// endElement ends the current element, and removes it from the normal form if it repeats the first element.
func (p *analysisPass) endElement(list *foldedList) {
	list.count++
	first := p.normal.text[list.start:]
	if list.firstLength == unknownLength {
		list.firstLength = len(first)
		if list.isRows {
			list.plainRowLength = plainRowLength(trimSeparator(first))
		}
		return
	}
	if sameElement(p.normal.text[list.elementStart:], first[:list.firstLength]) {
		p.normal.text = p.normal.text[:list.elementStart]
	}
}

// sameElement reports whether an element equals the first one, apart from the separators before them.
func sameElement(element, first []byte) bool {
	return bytes.Equal(trimSeparator(element), trimSeparator(first))
}

// trimSeparator removes the comma and the spaces before an element.
func trimSeparator(element []byte) []byte {
	for len(element) > 0 && (element[0] == ',' || element[0] == ' ') {
		element = element[1:]
	}
	return element
}

// endLists ends the open lists whose depth is greater than the given one.
func (p *analysisPass) endLists(depth int) {
	for p.lists.count > 0 && p.lists.innermost().depth > depth {
		list := p.lists.innermost()
		p.endElement(list)
		if list.isRows {
			p.result.Features.Rows += int32(list.count)
		} else if list.slot != noSlot {
			p.slots.entries[list.slot].Count = int32(list.count)
		}
		p.lists.count--
		p.expected.role = RoleOther
	}
}
