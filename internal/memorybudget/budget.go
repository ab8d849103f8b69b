// Package memorybudget limits the memory of data that many connections buffer, such as the rows of
// results.
package memorybudget

// Budget is the number of bytes that its users may buffer together. The zero value permits none. A
// Budget is not safe for concurrent use.
type Budget struct {
	limit    int // bytes
	reserved int // bytes
}

// New returns a budget of which nothing is reserved.
func New(limit int) Budget { return Budget{limit: limit} }

// SetLimit changes the limit. Reservations stay, even if they exceed the new limit.
func (b *Budget) SetLimit(bytes int) { b.limit = bytes }

// TryReserve reserves bytes and reports whether they were within the limit.
func (b *Budget) TryReserve(bytes int) bool {
	if b.reserved+bytes > b.limit {
		return false
	}
	b.reserved += bytes
	return true
}

// Release gives back bytes that TryReserve reserved.
func (b *Budget) Release(bytes int) { b.reserved -= bytes }
