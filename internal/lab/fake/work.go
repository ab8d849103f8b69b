package fake

import (
	"hash/fnv"
	"strings"
	"time"
)

// Work returns the execution time of a statement and the memory that the statement uses, in MB.
type Work func(statement string) (duration time.Duration, memoryMB float64)

// usualWork is the usual work of a kind of statement.
type usualWork struct {
	milliseconds float64
	memoryMB     float64
}

var (
	lookupWork    = usualWork{milliseconds: 200, memoryMB: 20}
	loadWork      = usualWork{milliseconds: 1500, memoryMB: 60}
	aggregateWork = usualWork{milliseconds: 1800, memoryMB: 120}
)

// PlausibleWork is a Work with usual times for the kind of the statement: a second or two for a load or
// an aggregate, and a fifth of a second for a lookup. The time and the memory vary with the text, by up to 30 %.
func PlausibleWork(statement string) (duration time.Duration, memoryMB float64) {
	usual := lookupWork
	switch upper := strings.ToUpper(statement); {
	case strings.Contains(upper, "INSERT"):
		usual = loadWork
	case strings.Contains(upper, "COUNT(") || strings.Contains(upper, "SUM(") || strings.Contains(upper, "GROUP BY"):
		usual = aggregateWork
	}
	factor := textFactor(statement)
	return time.Duration(usual.milliseconds * factor * float64(time.Millisecond)), usual.memoryMB * factor
}

// textFactor returns a factor between 0.7 and 1.3 that depends on the text.
func textFactor(text string) float64 {
	const (
		minFactor   = 0.7
		factorRange = 0.6
		steps       = 1000
	)
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(text)) // never fails
	return minFactor + factorRange*float64(hash.Sum32()%steps)/steps
}

// abbreviate shortens a statement for the log.
func abbreviate(statement string) string {
	const (
		maxLength = 200
		ellipsis  = "..."
	)
	if len(statement) > maxLength {
		return statement[:maxLength-len(ellipsis)] + ellipsis
	}
	return statement
}
