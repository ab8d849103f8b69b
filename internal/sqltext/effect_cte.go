package sqltext

// cteTracker tracks the lists of common table expressions (CTE) that follow WITH in a statement. It finds
// the names of the expressions. A parenthesis after such a name contains columns and does not begin a call.
type cteTracker struct {
	// The fields lists and nameExpected have one bit for each depth of parentheses; see depthBit. In lists, the bit is
	// set while the tokens at that depth belong to the list after WITH. In nameExpected, the bit is set if the next
	// name at that depth is the name of an expression.
	lists        uint64
	nameExpected uint64
	afterName    bool // the previous token is the name of an expression
}

// depthBit returns the bit of a depth, or 0 if the depth is not tracked. At depths that are not tracked, the
// name of an expression is taken for a call if columns follow it, so that the statement is classified as one that may
// write.
func depthBit(depth int) uint64 {
	const trackedDepths = 64
	if depth < 0 || depth >= trackedDepths {
		return 0
	}
	return 1 << depth
}

// beginParen handles an opening parenthesis. depth is the depth outside it, and previous is the key word before it. In
// the list after WITH, a parenthesis contains the columns after a name, or the statement after AS or MATERIALIZED. Any
// other parenthesis there begins the main statement, which ends the list.
func (c *cteTracker) beginParen(depth int, previous keyword) {
	if c.afterName || previous == keywordAs || previous == keywordMaterialized {
		return
	}
	bit := depthBit(depth)
	c.lists &^= bit
	c.nameExpected &^= bit
}

// enterParen handles an opening parenthesis. depth is the depth inside it.
func (c *cteTracker) enterParen(depth int) {
	bit := depthBit(depth)
	c.lists &^= bit
	c.nameExpected &^= bit
}

// addComma handles a comma. After a comma between expressions of a list, the next name is the name of an expression.
func (c *cteTracker) addComma(depth int) {
	bit := depthBit(depth)
	if c.lists&bit != 0 {
		c.nameExpected |= bit
	}
}

// isNameExpected reports whether the next name at the depth is the name of an expression.
func (c *cteTracker) isNameExpected(depth int) bool { return c.nameExpected&depthBit(depth) != 0 }

// addWord handles a key word or a name.
func (c *cteTracker) addWord(depth int, word keyword, class keywordClass, previous keyword, beginsStatement bool) {
	bit := depthBit(depth)
	switch {
	case word == keywordWith && beginsStatement: // otherwise it is WITH ORDINALITY, WITH TIES or the like
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
