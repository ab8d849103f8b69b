package sqltext

import "math/bits"

// Widths in bits of the fields of a bucket, in their order. Two flags of one bit each follow the fields.
const (
	alternativesBits = 4
	spanBits         = 5
	wildcardBits     = 2
	rowLimitBits     = 4
	disabledBits     = 3
	rowsBits         = 4
)

// maxLog2RowLimit is the maximum for the logarithm of a row limit. Half of the logarithm is stored, so that
// the row limits of adjacent buckets differ by a factor of four.
const maxLog2RowLimit = 30

// Bucket returns a coarse form of the profile, packed into bits. Executions of the same statement shape with
// equal buckets are expected to cost the same.
func (p *Profile) Bucket() uint32 {
	bucket := log2Bucket(float64(p.Alternatives), 1<<alternativesBits-1)
	bucket = bucket<<spanBits | log2Bucket(p.Span, 1<<spanBits-1)
	bucket = bucket<<wildcardBits | uint32(p.Wildcard)
	bucket = bucket<<rowLimitBits | min(log2Bucket(p.RowLimit, maxLog2RowLimit)/2, 1<<rowLimitBits-1)
	bucket = bucket<<disabledBits | uint32(min(p.DisabledRestrictions, 1<<disabledBits-1))
	bucket = bucket<<rowsBits | log2Bucket(float64(p.Rows), 1<<rowsBits-1)
	for _, flag := range []bool{p.HalfOpen, p.Unrestricted} {
		bucket <<= 1
		if flag {
			bucket |= 1
		}
	}
	return bucket
}

// log2Bucket returns 0 if x is absent (not positive), and 1 if x is below 1. Otherwise it returns the base-2
// logarithm of x, rounded down, plus one, but at most largest.
func log2Bucket(x float64, largest uint32) uint32 {
	const largestBucketFrom = 1 << 40 // from this value on, x is not converted to an integer
	switch {
	case x <= 0:
		return 0
	case x < 1:
		return 1
	case x >= largestBucketFrom:
		return largest
	}
	return min(uint32(bits.Len64(uint64(x))), largest)
}
