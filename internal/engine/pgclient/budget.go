package pgclient

// resultBudget limits the memory, in bytes, of the rows of all results that are incomplete. It
// belongs to the event loop's goroutine.
type resultBudget struct {
	limit    int
	reserved int
}

// reserve reserves memory, and reports whether the limit permits it.
func (b *resultBudget) reserve(bytes int) bool {
	if b.reserved+bytes > b.limit {
		return false
	}
	b.reserved += bytes
	return true
}

// release returns reserved memory.
func (b *resultBudget) release(bytes int) { b.reserved -= bytes }
