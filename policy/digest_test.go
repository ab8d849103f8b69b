package policy_test

import (
	"encoding/binary"
	"fmt"
	"hash"
	"hash/fnv"
	"math"
	"time"
)

// digestWriter hashes actions in a form that does not depend on names in the code.
type digestWriter struct {
	hash hash.Hash64
}

func newDigestWriter() *digestWriter { return &digestWriter{hash: fnv.New64a()} }

// write adds an action with its values.
func (d *digestWriter) write(kind actionKind, now time.Duration, values []any) {
	b := binary.BigEndian.AppendUint64([]byte{byte(kind)}, uint64(now))
	for _, value := range values {
		switch v := value.(type) {
		case uint64:
			b = binary.BigEndian.AppendUint64(b, v)
		case int:
			b = binary.BigEndian.AppendUint64(b, uint64(v))
		case time.Duration:
			b = binary.BigEndian.AppendUint64(b, uint64(v))
		case float64:
			b = binary.BigEndian.AppendUint64(b, math.Float64bits(v))
		case string:
			b = append(append(b, v...), 0)
		default:
			panic(fmt.Sprintf("no digest of %T", value))
		}
	}
	d.hash.Write(b)
}

// float adds a value.
func (d *digestWriter) float(value float64) {
	var b [8]byte
	binary.BigEndian.PutUint64(b[:], math.Float64bits(value))
	d.hash.Write(b[:])
}
