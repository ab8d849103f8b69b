package sqltext

import (
	"encoding/binary"
	"math"
)

// Type OIDs, from the catalog pg_type.
const (
	oidInt8        = 20
	oidInt2        = 21
	oidInt4        = 23
	oidFloat4      = 700
	oidFloat8      = 701
	oidTimestamp   = 1114
	oidTimestamptz = 1184
)

// microsecondsPerDay converts binary timestamps to days.
const microsecondsPerDay = 86400e6

// parseBinaryNumber parses a number in binary form. Dates and timestamps are returned as
// days since 2000-01-01.
func parseBinaryNumber(value []byte, typeOID uint32) (number float64, ok bool) {
	const (
		size16 = 2
		size32 = 4
		size64 = 8
	)
	switch len(value) {
	case size16:
		return float64(int16(binary.BigEndian.Uint16(value))), true
	case size32:
		bits := binary.BigEndian.Uint32(value)
		if typeOID == oidFloat4 {
			return finite(float64(math.Float32frombits(bits)))
		}
		return float64(int32(bits)), true // a date is already in days
	case size64:
		bits := binary.BigEndian.Uint64(value)
		switch typeOID {
		case oidFloat8:
			return finite(math.Float64frombits(bits))
		case oidTimestamp, oidTimestamptz:
			return float64(int64(bits)) / microsecondsPerDay, true
		}
		return float64(int64(bits)), true
	}
	return 0, false
}

// finite returns a number and whether it is finite.
func finite(x float64) (number float64, ok bool) { return x, !math.IsNaN(x) && !math.IsInf(x, 0) }

// An array in binary form begins with a header: the number of dimensions, a flag and the type of the elements, each
// of four bytes, and then eight bytes for each dimension.
const (
	arrayHeaderBytes    = 12
	arrayDimensionBytes = 8
	maxArrayDimensions  = 6 // MAXDIM of PostgreSQL
)

// binaryArrayLength returns the number of elements of an array in binary form, or 0 if the array is malformed.
func binaryArrayLength(array []byte) int {
	if len(array) < arrayHeaderBytes {
		return 0
	}
	dimensions := int(binary.BigEndian.Uint32(array))
	if dimensions < 1 || dimensions > maxArrayDimensions {
		return 0
	}
	if len(array) < arrayHeaderBytes+arrayDimensionBytes*dimensions {
		return 0
	}
	length := 1
	for i := range dimensions {
		size := int(int32(binary.BigEndian.Uint32(array[arrayHeaderBytes+arrayDimensionBytes*i:])))
		if size < 0 || length*size > len(array) { // each element takes at least four bytes
			return 0
		}
		length *= size
	}
	return length
}
