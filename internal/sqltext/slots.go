package sqltext

// expectValue sets the role of a value behind a key word.
func (p *pass) expectValue(word keyword, class keywordClass) {
	switch word {
	case keywordBetween:
		p.pendingRole, p.comparedColumn, p.inBetween = RoleLowerBound, p.column, true
	case keywordSymmetric, keywordNot, keywordSimilar, keywordInterval, keywordArray:
	case keywordAnd:
		if p.inBetween {
			p.pendingRole, p.inBetween = RoleUpperBound, false
		} else {
			p.pendingRole, p.column = RoleOther, 0
		}
	case keywordWhere, keywordOr, keywordOn, keywordHaving:
		p.pendingRole, p.column = RoleOther, 0
	case keywordLike, keywordIlike:
		p.pendingRole, p.comparedColumn = RolePattern, p.column
	case keywordLimit:
		p.expectLimit()
	case keywordFirst, keywordNext:
		if p.keywordBefore == keywordFetch || p.previousKeyword == keywordFetch {
			p.expectLimit()
		}
	case keywordIn, keywordAny, keywordSome:
		p.pendingRole, p.comparedColumn = RoleList, p.column
	case keywordIs:
		p.markNullGuard()
	default:
		if class&typeWord == 0 { // types such as timestamp leave the comparison as it is
			p.pendingRole = RoleOther
		}
	}
}

func (p *pass) expectLimit() {
	p.pendingRole = RoleLimit
	p.result.Features.Limited = true
}

// markNullGuard handles IS behind a parameter or NULL.
func (p *pass) markNullGuard() {
	for i := range p.slotCount {
		if slot := &p.analyzer.slots[i]; p.parameter > 0 && slot.Parameter == int32(p.parameter) {
			slot.NullGuard = true
		}
	}
	if p.previousKeyword == keywordNull {
		p.result.Unrestricted = true
	}
	p.parameter, p.pendingRole = 0, RoleOther
}

// value adds a literal or a parameter.
func (p *pass) value(t Token) {
	f := &p.result.Features
	f.Values++
	signStart := p.signStart
	if signStart > 0 {
		p.normalForm = p.normalForm[:signStart]
	} else {
		p.space()
	}
	p.normalForm = append(p.normalForm, '?')
	role := p.pendingRole
	if p.afterInterval && t.Kind == String {
		role = RoleInterval
	}
	p.afterInterval = false
	if role == RoleList && p.inOpenList() {
		return // the slot of the list counts it
	}
	guard := p.keywordBefore == keywordCoalesce && p.previousKind == LeftParen
	p.parameter = 0
	if t.Kind == Parameter {
		p.parameter = parameterNumber(p.lexer.Src[t.Start+1 : t.End])
	}
	role = p.countRestriction(role)
	// Of the values without a role, only parameters can turn out to be null guards.
	if role == RoleOther && (t.Kind != Parameter || f.Verb == VerbInsert) || p.slotCount == maxSlots {
		return
	}
	slot := Slot{Role: role, NullGuard: guard, Column: p.comparedColumn, Count: 1}
	if t.Kind == Parameter {
		slot.Parameter = int32(p.parameter)
	} else if slot.From, slot.To = int32(t.Start), int32(t.End); signStart > 0 {
		slot.From = int32(p.signOffset)
	}
	p.analyzer.slots[p.slotCount] = slot
	p.slotCount++
	p.pendingRole = RoleOther
}

// countRestriction counts a value that narrows the result. It returns RoleOther for a
// value that is compared with no column, as in 1 = 1.
func (p *pass) countRestriction(role Role) Role {
	switch role {
	case RoleInterval:
		p.result.Restrictions++
	case RoleEqual, RoleList, RoleLowerBound, RoleUpperBound, RolePattern:
		if p.comparedColumn == 0 {
			return RoleOther
		}
		p.result.Restrictions++
	}
	return role
}

// parameterNumber parses the number of a parameter. Numbers above those that the protocol
// allows are all the same.
func parameterNumber(digits string) (n int) {
	const limit = 1 << 16
	for i := range len(digits) {
		if n = n*10 + int(digits[i]-'0'); n > limit {
			return limit
		}
	}
	return n
}
