package clientconn

// Budget limits the bytes of results that are buffered for clients to fetch. It must be used from the goroutine of the
// event loop only.
type Budget struct {
	limit    int // bytes
	reserved int // bytes
}

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

// Release returns bytes that TryReserve reserved.
func (b *Budget) Release(bytes int) { b.reserved -= bytes }
