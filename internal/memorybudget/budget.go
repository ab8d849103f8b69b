// Package memorybudget limits the memory of data that many connections buffer, such as the rows of
// results.
package memorybudget

// Budget limits the number of bytes that its users may buffer in total. The zero value permits no bytes. A
// Budget is not safe for concurrent use.
type Budget struct {
	limit    int // bytes
	reserved int // bytes
}

// New returns a budget with a limit in bytes and no reservations.
func New(limit int) Budget { return Budget{limit: limit} }

// SetLimit changes the limit. Existing reservations remain, even if they exceed the new limit.
func (b *Budget) SetLimit(bytes int) { b.limit = bytes }

// TryReserve reserves bytes if the limit permits it, and reports whether it did so.
func (b *Budget) TryReserve(bytes int) bool {
	if b.reserved+bytes > b.limit {
		return false
	}
	b.reserved += bytes
	return true
}

// Release releases bytes that TryReserve reserved.
func (b *Budget) Release(bytes int) { b.reserved -= bytes }
