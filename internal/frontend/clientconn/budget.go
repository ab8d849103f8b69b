package clientconn

// Budget bounds the bytes of results that are buffered for clients to fetch. It belongs
// to the goroutine of the event loop.
type Budget struct {
	limit    int
	reserved int
}

// SetLimit changes the limit. What is reserved already stays so.
func (b *Budget) SetLimit(bytes int) { b.limit = bytes }

// TryReserve reserves bytes and reports whether the budget had room for them.
func (b *Budget) TryReserve(bytes int) bool {
	if b.reserved+bytes > b.limit {
		return false
	}
	b.reserved += bytes
	return true
}

// Release returns bytes that TryReserve reserved.
func (b *Budget) Release(bytes int) { b.reserved -= bytes }
