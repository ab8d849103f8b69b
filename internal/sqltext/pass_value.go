package sqltext

// maxSlots is the maximum number of slots of a statement. Further values are only counted.
const maxSlots = 24

// slotBuffer holds the slots of a statement. Its array is reused for the next statement.
type slotBuffer struct {
	entries [maxSlots]Slot
	count   int
}

func (b *slotBuffer) full() bool { return b.count == maxSlots }

// add adds a slot and returns its index. The buffer must not be full.
func (b *slotBuffer) add(slot Slot) (index int) {
	index = b.count
	b.entries[index] = slot
	b.count++
	return index
}

// used returns the slots that have been added. They are valid until the next statement.
func (b *slotBuffer) used() []Slot { return b.entries[:b.count] }

// expectedValue is what can be inferred about the next value from the tokens so far.
type expectedValue struct {
	role           Role
	comparedColumn uint32 // hash of the column that the value is compared with
	column         uint32 // hash of the last name, which is the compared column if a comparison follows
	afterBetween   bool   // the next AND precedes the upper bound of a BETWEEN
	afterInterval  bool   // the previous token is the word INTERVAL
	parameter      int    // number of the last parameter if only casts followed it, else 0
}

// compare sets the role of the next value, which is compared with the last name.
func (e *expectedValue) compare(role Role) {
	e.role = role
	e.comparedColumn = e.column
}

// endComparison clears the last name and the expected role.
func (e *expectedValue) endComparison() {
	e.role = RoleOther
	e.column = 0
}

// expectValue sets the role of the value that follows a key word.
func (p *analysisPass) expectValue(word keyword, class keywordClass) {
	switch word {
	case keywordBetween:
		p.expected.compare(RoleLowerBound)
		p.expected.afterBetween = true
	case keywordSymmetric, keywordNot, keywordSimilar, keywordInterval, keywordArray:
		// The comparison continues after these words.
	case keywordAnd:
		if p.expected.afterBetween {
			p.expected.role = RoleUpperBound
			p.expected.afterBetween = false
		} else {
			p.expected.endComparison()
		}
	case keywordWhere, keywordOr, keywordOn, keywordHaving:
		p.expected.endComparison()
	case keywordLike, keywordIlike:
		p.expected.compare(RolePattern)
	case keywordLimit:
		p.expectLimit()
	case keywordFirst, keywordNext:
		if p.keywordBefore == keywordFetch || p.previousKeyword == keywordFetch {
			p.expectLimit()
		}
	case keywordIn, keywordAny, keywordSome:
		p.expected.compare(RoleList)
	case keywordIs:
		p.markNullGuard()
	default:
		if class&typeWord == 0 { // a type such as timestamp does not end the comparison
			p.expected.role = RoleOther
		}
	}
}

func (p *analysisPass) expectLimit() {
	p.expected.role = RoleLimit
	p.result.Features.Limited = true
}

// markNullGuard handles IS, and takes every IS for the start of IS NULL. A parameter before IS is marked as tested for
// null. A literal NULL before IS makes the condition true for all rows.
func (p *analysisPass) markNullGuard() {
	used := p.slots.used()
	for i := range used {
		if slot := &used[i]; p.expected.parameter > 0 && slot.Parameter == int32(p.expected.parameter) {
			slot.NullGuard = true
		}
	}
	if p.previousKeyword == keywordNull {
		p.result.Unrestricted = true
	}
	p.expected.parameter = 0
	p.expected.role = RoleOther
}

// addValue adds a literal or a parameter.
func (p *analysisPass) addValue(t Token) {
	p.result.Features.Values++
	signOffset, signed := p.normal.addPlaceholder(p.previousKind)
	role := p.expected.role
	if p.expected.afterInterval && t.Kind == String {
		role = RoleInterval
	}
	p.expected.afterInterval = false
	if role == RoleList && p.inAlternatives() {
		return // the list has a single slot, with the number of its elements
	}
	isNullGuard := p.keywordBefore == keywordCoalesce && p.previousKind == LeftParen
	p.expected.parameter = 0
	if t.Kind == Parameter {
		p.expected.parameter = parameterNumber(p.lexer.Src[t.Start+1 : t.End])
	}
	role = p.countRestriction(role)
	// A value without a role gets a slot only if it may disable the restriction on another value.
	mayBeNullGuard := t.Kind == Parameter && p.result.Features.Verb != VerbInsert
	if role == RoleOther && !mayBeNullGuard || p.slots.full() {
		return
	}
	slot := Slot{Role: role, NullGuard: isNullGuard, Column: p.expected.comparedColumn, Count: 1}
	if t.Kind == Parameter {
		slot.Parameter = int32(p.expected.parameter)
	} else {
		slot.From = int32(t.Start)
		slot.To = int32(t.End)
		if signed {
			slot.From = int32(signOffset)
		}
	}
	p.slots.add(slot)
	p.expected.role = RoleOther
}

// countRestriction counts a value that narrows the result and returns the role of the value. It returns RoleOther
// for a value that is compared, but not with a column, as in 1 = 1.
func (p *analysisPass) countRestriction(role Role) Role {
	switch role {
	case RoleInterval:
		p.result.Restrictions++
	case RoleEqual, RoleList, RoleLowerBound, RoleUpperBound, RolePattern:
		if p.expected.comparedColumn == 0 {
			return RoleOther
		}
		p.result.Restrictions++
	case RoleOther, RoleLimit:
	}
	return role
}

// parameterNumber parses the number of a parameter. All numbers above the largest one that the protocol allows
// give the same result.
func parameterNumber(digits string) (number int) {
	const limit = 1 << 16
	for i := range len(digits) {
		number = number*decimal + int(digits[i]-'0')
		if number > limit {
			return limit
		}
	}
	return number
}
