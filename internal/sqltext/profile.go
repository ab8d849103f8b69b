package sqltext

// Wildcard is the position of the first wildcard in a pattern.
type Wildcard uint8

// Positions of a wildcard.
const (
	NoPattern       Wildcard = iota // the statement has no pattern
	NoWildcard                      // the pattern has no wildcard
	InnerWildcard                   // behind some characters: an index can serve the pattern
	LeadingWildcard                 // at the start
)

// Profile holds what the values of one execution indicate of the size of its result.
type Profile struct {
	Alternatives         int     // length of the longest list; 0: no list
	Span                 float64 // width of the widest closed range, for dates in days; 0: none
	HalfOpen             bool    // a range has one bound only
	Wildcard             Wildcard
	RowLimit             float64 // number of rows; 0: none
	DisabledRestrictions int     // restrictions that a null switches off
	Unrestricted         bool    // nothing restricts the result
	Rows                 int     // rows to write
	Column               uint32  // hash of the column of the longest list or, without any, the widest range
	Key                  uint64  // hash of the first value compared for equality; 0: none
}

// maxSpan bounds the width of a range; it also replaces a width that is no number.
const maxSpan = 1e12

// Profile evaluates the values of one execution, both literals and bound values. seed is
// that of the hash of the key.
func (a *Analysis) Profile(stmt string, binds *Binds, seed uint64) Profile {
	b := profileBuilder{
		profile:      Profile{Rows: int(a.Features.Rows)},
		restrictions: a.Restrictions,
		seed:         seed,
	}
	for i := range a.Slots {
		slot := &a.Slots[i]
		v := binds.slotValue(stmt, slot)
		if !v.null {
			b.add(slot, &v)
		} else if slot.Role != RoleOther && slot.Role != RoleLimit && a.hasNullGuard(slot.Parameter) {
			b.profile.DisabledRestrictions++
			b.restrictions--
		}
	}
	b.matchBounds()
	p := &b.profile
	p.Unrestricted = a.Unrestricted || b.restrictions <= 0 && a.Features.Verb != VerbInsert
	if !(p.Span >= 0 && p.Span <= maxSpan) {
		p.Span = maxSpan
	}
	return *p
}

// hasNullGuard reports whether a null in the parameter switches its restriction off.
func (a *Analysis) hasNullGuard(parameter int32) bool {
	for i := range a.Slots {
		if a.Slots[i].Parameter == parameter && a.Slots[i].NullGuard {
			return true
		}
	}
	return false
}

// profileBuilder collects a Profile slot by slot.
type profileBuilder struct {
	profile      Profile
	restrictions int // that are in effect
	seed         uint64

	lower, upper           [maxSlots]bound
	lowerCount, upperCount int
}

// bound is one bound of a range.
type bound struct {
	value  float64
	column uint32
}

// add evaluates one value that is not null.
func (b *profileBuilder) add(slot *Slot, v *slotValue) {
	p := &b.profile
	switch slot.Role {
	case RoleEqual:
		if p.Key == 0 && v.known {
			p.Key = hashKey(v, b.seed)
		}
	case RoleList:
		if n := v.listLength(slot); n > p.Alternatives {
			p.Alternatives, p.Column = n, slot.Column
		}
	case RoleLowerBound, RoleUpperBound:
		b.addBound(slot, v)
	case RoleInterval:
		if days, ok := parseInterval(unquote(v.text)); ok {
			p.Span = max(p.Span, days)
		}
	case RolePattern:
		wildcard := firstWildcard(v.pattern(slot))
		p.Wildcard = max(p.Wildcard, wildcard)
		if wildcard == LeadingWildcard {
			b.restrictions--
		}
	case RoleLimit:
		if rows, ok := v.number(); ok && rows > 0 {
			p.RowLimit = rows
		}
	}
}

func (b *profileBuilder) addBound(slot *Slot, v *slotValue) {
	value, ok := v.number()
	switch {
	case !ok:
		b.profile.HalfOpen = true
	case slot.Role == RoleLowerBound:
		b.lower[b.lowerCount] = bound{value, slot.Column}
		b.lowerCount++
	default:
		b.upper[b.upperCount] = bound{value, slot.Column}
		b.upperCount++
	}
}

// matchBounds pairs the bounds of each column to ranges.
func (b *profileBuilder) matchBounds() {
	p := &b.profile
	for _, lower := range b.lower[:b.lowerCount] {
		matched := false
		for _, upper := range b.upper[:b.upperCount] {
			if upper.column != lower.column {
				continue
			}
			matched = true
			if span := upper.value - lower.value; span > p.Span {
				p.Span = span
				if p.Alternatives == 0 {
					p.Column = lower.column
				}
			}
		}
		p.HalfOpen = p.HalfOpen || !matched
	}
	p.HalfOpen = p.HalfOpen || b.upperCount > 0 && b.lowerCount == 0
}
