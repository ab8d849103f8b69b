package sqltext

import "strconv"

// Parameters of the FNV-1a hash.
const (
	fnvOffset = 14695981039346656037
	fnvPrime  = 1099511628211
)

// maxHashedBytes limits the part of a value that is hashed.
const maxHashedBytes = 64

// hashKey hashes a value that is compared for equality. The hash is the same for a literal and for a bound value,
// in text and in binary form. It is never 0.
func hashKey(value *slotValue, seed uint64) uint64 {
	const (
		maxIntDigits = 24 // more than any int64 needs, including its sign
		upper32Shift = 32
	)
	hash := seed ^ fnvOffset
	switch {
	case value.form == formLiteral:
		text := unquote(value.literal)
		hash = fnv(hash, text[:min(len(text), maxHashedBytes)])
	case value.form == formBinary && isIntegerType(value.typeOID):
		number, _ := parseBinaryNumber(value.bound, value.typeOID)
		var digits [maxIntDigits]byte
		hash = fnv(hash, strconv.AppendInt(digits[:0], int64(number), decimal))
	default:
		hash = fnv(hash, value.bound[:min(len(value.bound), maxHashedBytes)])
	}
	hash ^= hash >> upper32Shift
	if hash == 0 {
		hash = 1
	}
	return hash
}

func isIntegerType(typeOID uint32) bool {
	return typeOID == oidInt2 || typeOID == oidInt4 || typeOID == oidInt8
}

// fnv returns an FNV-1a hash after adding data to it.
func fnv[T string | []byte](hash uint64, data T) uint64 {
	for i := range len(data) {
		hash = (hash ^ uint64(data[i])) * fnvPrime
	}
	return hash
}
