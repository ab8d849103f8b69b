package sqltext

// cteTracker tracks the lists of common table expressions (CTE) of a statement, behind WITH. It finds the
// names of the expressions: a parenthesis behind such a name holds columns and begins no call.
type cteTracker struct {
	// lists and nameExpected have a bit for each depth of parentheses, as given by depthBit. The former
	// is set within a list, the latter where the next name begins an expression of it.
	lists        uint64
	nameExpected uint64
	afterName    bool // the previous token is the name of an expression
}

// depthBit returns the bit of a depth. Deeper lists than 64 are not tracked; their columns
// look like calls, which errs on the side of writing.
func depthBit(depth int) uint64 {
	const trackedDepths = 64
	if depth < 0 || depth >= trackedDepths {
		return 0
	}
	return 1 << depth
}

// enter begins a parenthesis, whose depth is given.
func (c *cteTracker) enter(depth int) {
	bit := depthBit(depth)
	c.lists &^= bit
	c.nameExpected &^= bit
}

// comma handles a comma, behind which a list continues with the next name.
func (c *cteTracker) comma(depth int) {
	bit := depthBit(depth)
	if c.lists&bit != 0 {
		c.nameExpected |= bit
	}
}

// isNameExpected reports whether the next name at the depth begins an expression.
func (c *cteTracker) isNameExpected(depth int) bool { return c.nameExpected&depthBit(depth) != 0 }

// word handles a key word or a name.
func (c *cteTracker) word(depth int, word keyword, class keywordClass, previous keyword, beginsStatement bool) {
	bit := depthBit(depth)
	switch {
	case word == keywordWith && beginsStatement: // else it is WITH ORDINALITY, WITH TIES or the like
		c.lists |= bit
		c.nameExpected |= bit
	case word == keywordRecursive && previous == keywordWith:
	case c.nameExpected&bit != 0:
		c.nameExpected &^= bit
		c.afterName = true
	case class&(readingWord|writingWord) != 0:
		c.lists &^= bit
	}
}
