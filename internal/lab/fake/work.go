package fake

import (
	"hash/fnv"
	"strings"
	"time"
)

// Work returns how long a statement takes, and the memory that it needs in MB.
type Work func(statement string) (time.Duration, float64)

// PlausibleWork is the work that a reader of a statement would expect: a load or a summary takes
// seconds, a lookup a fifth of one, and each text differs a little.
func PlausibleWork(statement string) (time.Duration, float64) {
	const minFactor, factorRange = 0.7, 0.6
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(statement)) // it never fails
	factor := minFactor + factorRange*float64(hash.Sum32()%1000)/1000
	usualMS, memoryMB := 200.0, 20.0
	switch upper := strings.ToUpper(statement); {
	case strings.Contains(upper, "INSERT"):
		usualMS, memoryMB = 1500, 60
	case strings.Contains(upper, "COUNT(") || strings.Contains(upper, "SUM(") || strings.Contains(upper, "GROUP BY"):
		usualMS, memoryMB = 1800, 120
	}
	return time.Duration(usualMS * factor * float64(time.Millisecond)), memoryMB * factor
}

// abbreviate shortens a statement for the log.
func abbreviate(statement string) string {
	const maxLength, ellipsis = 200, "..."
	if len(statement) > maxLength {
		return statement[:maxLength-len(ellipsis)] + ellipsis
	}
	return statement
}
