package sqltext

import "strconv"

// Parameters of the FNV-1a hash.
const (
	fnvOffset = 14695981039346656037
	fnvPrime  = 1099511628211
)

// maxHashedBytes bounds the part of a value that is hashed.
const maxHashedBytes = 64

// hashKey hashes a value that is compared for equality. The hash does not depend on
// whether the value is a literal or bound, in text or in binary form. It is never 0.
func hashKey(v *slotValue, seed uint64) uint64 {
	h := seed ^ fnvOffset
	switch {
	case v.bound != nil && v.binaryForm && isIntegerType(v.typeOID):
		x, _ := parseBinaryNumber(v.bound, v.typeOID)
		var digits [24]byte
		h = fnv(h, strconv.AppendInt(digits[:0], int64(x), 10))
	case v.bound != nil:
		h = fnv(h, v.bound[:min(len(v.bound), maxHashedBytes)])
	default:
		text := unquote(v.text)
		h = fnv(h, text[:min(len(text), maxHashedBytes)])
	}
	h ^= h >> 32
	if h == 0 {
		h = 1
	}
	return h
}

func isIntegerType(typeOID uint32) bool {
	return typeOID == oidInt2 || typeOID == oidInt4 || typeOID == oidInt8
}

// fnv continues an FNV-1a hash with some bytes.
func fnv[T string | []byte](h uint64, data T) uint64 {
	for i := range len(data) {
		h = (h ^ uint64(data[i])) * fnvPrime
	}
	return h
}
