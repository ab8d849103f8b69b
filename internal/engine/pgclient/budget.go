package pgclient

// resultBudget limits the memory of the rows of all incomplete results. It may be used only on
// the event loop's goroutine.
type resultBudget struct {
	limit    int // bytes
	reserved int // bytes
}

// reserve reserves memory if the limit permits it, and reports whether it does.
func (b *resultBudget) reserve(bytes int) bool {
	if b.reserved+bytes > b.limit {
		return false
	}
	b.reserved += bytes
	return true
}

// release returns reserved memory.
func (b *resultBudget) release(bytes int) { b.reserved -= bytes }
