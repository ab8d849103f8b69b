package sqltext

// Wildcard is the position of the first wildcard in a pattern.
type Wildcard uint8

// Positions of a wildcard.
const (
	NoPattern       Wildcard = iota // the statement has no pattern
	NoWildcard                      // the pattern has no wildcard
	InnerWildcard                   // after other characters, so that an index can be used
	LeadingWildcard                 // at the start
)

// Profile holds the properties of the values of one execution that indicate the size of its result.
type Profile struct {
	Alternatives         int     // length of the longest list; 0: no list
	Span                 float64 // width of the widest closed range, for dates in days; 0: none
	HalfOpen             bool    // a range has only one bound, or a bound that is not a number
	Wildcard             Wildcard
	RowLimit             float64 // number of rows; 0: none
	DisabledRestrictions int     // number of restrictions that null values disable
	Unrestricted         bool    // nothing restricts the result
	Rows                 int     // rows to write
	Column               uint32  // hash of the column of the longest list or, if there is no list, of the widest range
	Key                  uint64  // hash of the first value compared for equality; 0: none
}

// maxSpan is the maximum width of a range. A width that is a NaN is also replaced by maxSpan.
const maxSpan = 1e12

// Profile evaluates the values of one execution, both literals and bound values. seed is the seed of the hash
// in Profile.Key.
func (a *Analysis) Profile(stmt string, binds *Binds, seed uint64) Profile {
	builder := profileBuilder{
		profile:      Profile{Rows: int(a.Features.Rows)},
		restrictions: a.Restrictions,
		seed:         seed,
	}
	for i := range a.Slots {
		slot := &a.Slots[i]
		v := binds.slotValue(stmt, slot)
		if v.form != formNull {
			builder.add(slot, &v)
		} else if slot.Role != RoleOther && slot.Role != RoleLimit && a.hasNullGuard(slot.Parameter) {
			builder.profile.DisabledRestrictions++
			builder.restrictions--
		}
	}
	builder.matchBounds()
	profile := &builder.profile
	profile.Unrestricted = a.Unrestricted || builder.restrictions <= 0 && a.Features.Verb != VerbInsert
	if !(profile.Span >= 0 && profile.Span <= maxSpan) { // true for a NaN too
		profile.Span = maxSpan
	}
	return *profile
}

// hasNullGuard reports whether a null value of the parameter disables the restrictions by that parameter.
func (a *Analysis) hasNullGuard(parameter int32) bool {
	for i := range a.Slots {
		if a.Slots[i].Parameter == parameter && a.Slots[i].NullGuard {
			return true
		}
	}
	return false
}

// profileBuilder builds a Profile slot by slot.
type profileBuilder struct {
	profile      Profile
	restrictions int // number of restrictions in effect
	seed         uint64

	lower boundList
	upper boundList
}

// bound is one bound of a range.
type bound struct {
	value  float64
	column uint32
}

// boundList holds the lower or the upper bounds of all ranges.
type boundList struct {
	entries [maxSlots]bound
	count   int
}

func (l *boundList) add(value float64, column uint32) {
	l.entries[l.count] = bound{value, column}
	l.count++
}

func (l *boundList) all() []bound { return l.entries[:l.count] }

// add evaluates one value that is not null.
func (b *profileBuilder) add(slot *Slot, value *slotValue) {
	profile := &b.profile
	switch slot.Role {
	case RoleEqual:
		if profile.Key == 0 && value.form != formUnbound {
			profile.Key = hashKey(value, b.seed)
		}
	case RoleList:
		if length := value.listLength(slot.Count); length > profile.Alternatives {
			profile.Alternatives = length
			profile.Column = slot.Column
		}
	case RoleLowerBound, RoleUpperBound:
		b.addBound(slot, value)
	case RoleInterval:
		if days, ok := parseInterval(unquote(value.literal)); ok {
			profile.Span = max(profile.Span, days)
		}
	case RolePattern:
		wildcard := firstWildcard(value.pattern())
		profile.Wildcard = max(profile.Wildcard, wildcard)
		if wildcard == LeadingWildcard {
			b.restrictions--
		}
	case RoleLimit:
		if rows, ok := value.number(); ok && rows > 0 {
			profile.RowLimit = rows
		}
	case RoleOther: // the value does not indicate the size of the result
	}
}

func (b *profileBuilder) addBound(slot *Slot, value *slotValue) {
	number, ok := value.number()
	switch {
	case !ok:
		b.profile.HalfOpen = true
	case slot.Role == RoleLowerBound:
		b.lower.add(number, slot.Column)
	default:
		b.upper.add(number, slot.Column)
	}
}

// matchBounds combines the lower and upper bounds of each column into ranges.
func (b *profileBuilder) matchBounds() {
	profile := &b.profile
	for _, lower := range b.lower.all() {
		matched := false
		for _, upper := range b.upper.all() {
			if upper.column != lower.column {
				continue
			}
			matched = true
			if span := upper.value - lower.value; span > profile.Span {
				profile.Span = span
				if profile.Alternatives == 0 {
					profile.Column = lower.column
				}
			}
		}
		profile.HalfOpen = profile.HalfOpen || !matched
	}
	profile.HalfOpen = profile.HalfOpen || b.upper.count > 0 && b.lower.count == 0
}
