package sqltext

import "math/bits"

// Bucket returns a coarse form of the profile, packed into bits. Executions of one shape
// with equal buckets are expected to cost the same.
func (p *Profile) Bucket() uint32 {
	b := log2Bucket(float64(p.Alternatives), 15) // 4 bits
	b = b<<5 | log2Bucket(p.Span, 31)
	b = b<<2 | uint32(p.Wildcard)
	b = b<<4 | min(log2Bucket(p.RowLimit, 30)/2, 15)
	b = b<<3 | uint32(min(p.DisabledRestrictions, 7))
	b = b<<4 | log2Bucket(float64(p.Rows), 15)
	for _, flag := range []bool{p.HalfOpen, p.Unrestricted} {
		b <<= 1
		if flag {
			b |= 1
		}
	}
	return b
}

// log2Bucket returns 0 for an absent figure, else one more than its base-2 logarithm, up
// to a largest bucket.
func log2Bucket(x float64, largest uint32) uint32 {
	const unbounded = 1 << 40 // from here on, the integer conversion is avoided
	switch {
	case x <= 0:
		return 0
	case x < 1:
		return 1
	case x >= unbounded:
		return largest
	}
	return min(uint32(bits.Len64(uint64(x))), largest)
}
