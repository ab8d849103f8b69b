package sqltext

import "bytes"

// foldedList is a list whose elements are folded into one in the normal form: the
// alternatives of IN or ARRAY, or the rows of VALUES.
type foldedList struct {
	depth          int // of its commas
	isRows         bool
	start          int // of the first element in the normal form
	firstLength    int // length of the first element; -1: it is not complete yet
	elementStart   int // of the current element
	count          int // of complete elements
	slot           int // that counts the elements, or noSlot
	plainRowLength int // number of values in the first row if it holds nothing else, or 0
}

// noSlot marks a list that no slot counts.
const noSlot = -1

// maxNestedLists bounds how deep nested lists are folded.
const maxNestedLists = 8

// beginList begins a list of alternatives behind its parenthesis or bracket.
func (p *pass) beginList() {
	list := foldedList{depth: p.depth, start: len(p.normalForm), elementStart: len(p.normalForm), firstLength: -1, slot: noSlot}
	if p.slotCount < maxSlots {
		p.analyzer.slots[p.slotCount] = Slot{Role: RoleList, Column: p.comparedColumn}
		list.slot = p.slotCount
		p.slotCount++
	}
	p.result.Restrictions++
	p.pendingRole = RoleList
	p.pushList(list)
}

func (p *pass) pushList(list foldedList) {
	p.analyzer.lists[p.openLists] = list
	p.openLists++
}

// inOpenList reports whether a value here is an element of a list of alternatives.
func (p *pass) inOpenList() bool {
	if p.openLists == 0 {
		return false
	}
	list := &p.analyzer.lists[p.openLists-1]
	return !list.isRows && list.depth == p.depth
}

// trackElement ends the current element, or the list, where a token does.
func (p *pass) trackElement(t Token) {
	list := &p.analyzer.lists[p.openLists-1]
	switch {
	case p.depth < list.depth:
		p.endLists(p.depth)
	case p.depth > list.depth:
	case t.Kind == Comma:
		p.endElement(list)
		switch {
		case list.isRows && list.plainRowLength > 0:
			p.skipRows(list)
		case !list.isRows && list.firstLength == 1 && p.normalForm[list.start] == '?':
			p.skipElements(list)
		}
		list.elementStart = len(p.normalForm)
	case t.Kind == RightParen || t.Kind == RightBracket:
		p.endLists(p.depth - 1)
	case list.isRows && t.Kind != LeftParen:
		p.endLists(p.depth - 1)
	}
}

// skipElements skips further plain values, all but the last one, in a list whose first
// element is a plain value. Lists of thousands are the longest statements that occur.
func (p *pass) skipElements(list *foldedList) {
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

// plainRowLength returns the number of values of a row that holds nothing else, such as
// (?, ?, ?), and 0 for other rows.
func plainRowLength(row []byte) int {
	const values = "(?, ?, "
	if len(row) < 3 || len(row)%3 != 0 || row[0] != '(' || row[len(row)-1] != ')' {
		return 0
	}
	for i := 1; i < len(row)-1; i++ {
		if row[i] != values[1+(i-1)%3] {
			return 0
		}
	}
	return len(row) / 3
}

// skipRows skips further rows of plain values, all but the last one, behind a row of the
// same kind.
func (p *pass) skipRows(list *foldedList) {
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

// skipPlainRow skips a row of the given number of plain values. It returns false where the
// text holds something else.
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

// endElement ends the current element. One that repeats the first is removed from the
// normal form.
func (p *pass) endElement(list *foldedList) {
	list.count++
	switch {
	case list.firstLength < 0:
		list.firstLength = len(p.normalForm) - list.start
		if list.isRows {
			list.plainRowLength = plainRowLength(trimSeparator(p.normalForm[list.start:]))
		}
	case sameElement(p.normalForm[list.elementStart:], p.normalForm[list.start:list.start+list.firstLength]):
		p.normalForm = p.normalForm[:list.elementStart]
	}
}

// sameElement compares an element, which has its separator before it, with the first one.
func sameElement(element, first []byte) bool {
	return bytes.Equal(trimSeparator(element), trimSeparator(first))
}

// trimSeparator removes the comma and the space before an element.
func trimSeparator(element []byte) []byte {
	for len(element) > 0 && (element[0] == ',' || element[0] == ' ') {
		element = element[1:]
	}
	return element
}

// endLists ends the lists that are deeper than the given depth.
func (p *pass) endLists(depth int) {
	for p.openLists > 0 && p.analyzer.lists[p.openLists-1].depth > depth {
		list := &p.analyzer.lists[p.openLists-1]
		p.endElement(list)
		if list.isRows {
			p.result.Features.Rows += int32(list.count)
		} else if list.slot >= 0 {
			p.analyzer.slots[list.slot].Count = int32(list.count)
		}
		p.openLists--
		p.pendingRole = RoleOther
	}
}
