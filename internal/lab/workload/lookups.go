package workload

import (
	"fmt"
	"math"
)

// Reasons why the class of a statement is hard to determine.
const (
	hardLongList  = "a list of thousands"
	hardLongRange = "a range of years"
	hardWildcard  = "a wildcard in front"
	hardArray     = "all districts in an array"
	hardLimit     = "a limit of a million"
	hardNull      = "a null that switches the restriction off"
)

// generateByPart generates a SELECT of the rows of one part.
func generateByPart(i *instance) (actual, usual access) {
	part, rowFactor := i.generator.drawPart()
	i.sql("SELECT %s FROM %s WHERE %s = ", i.columns, i.from, i.column("part"))
	i.textValue(part)
	rows := i.rowsPerPart * rowFactor
	actual = access{indexed: rows, returned: rows}
	usual = access{indexed: i.rowsPerPart, returned: i.rowsPerPart}
	return actual, usual
}

// generateByPartAndWholesaler generates a SELECT of the row of one part at one wholesaler.
func generateByPartAndWholesaler(i *instance) (actual, usual access) {
	part, _ := i.generator.drawPart()
	i.sql("SELECT %s FROM %s WHERE %s = ", i.columns, i.from, i.column("part"))
	i.textValue(part)
	i.sql(" AND %s = ", i.column("wholesaler"))
	i.intValue(i.random.IntN(wholesalerCount))
	actual = access{indexed: i.rowsPerPart, returned: 1}
	return actual, actual
}

// generatePartList generates a SELECT of the rows of a few parts. With broad values, it lists thousands of parts.
func generatePartList(i *instance) (actual, usual access) {
	const (
		probeRows       = 12 // rows that cost as much as the search for one part
		minParts        = 2
		partsRange      = 7
		minBroadParts   = 2000
		broadPartsRange = 3000
		usualParts      = 5
		usualProbeRows  = usualParts * probeRows
	)
	n := minParts + i.random.IntN(partsRange)
	if i.broad {
		n = minBroadParts + i.random.IntN(broadPartsRange)
		i.hardCase = hardLongList
		i.style = literalValues
	}
	i.sql("SELECT %s FROM %s WHERE %s IN (", i.columns, i.from, i.column("part"))
	for item := range n {
		if item > 0 {
			i.literal(", ")
		}
		part, _ := i.generator.drawPart()
		i.textValue(part)
	}
	i.literal(")")
	parts := float64(n)
	actual = access{indexed: parts*i.rowsPerPart + probeRows*parts, returned: parts * i.rowsPerPart}
	usual = access{indexed: usualParts*i.rowsPerPart + usualProbeRows, returned: usualParts * i.rowsPerPart}
	return actual, usual
}

// generateDayRange generates a SELECT of the rows of a few days. With broad values, the range is several years.
func generateDayRange(i *instance) (actual, usual access) {
	const (
		maxDays        = 3
		usualDays      = 2
		maxBroadDays   = dayCount - 400
		broadDaysRange = 800
	)
	span := 1 + i.random.IntN(maxDays)
	if i.broad {
		span = maxBroadDays - i.random.IntN(broadDaysRange)
		i.hardCase = hardLongRange
	}
	start := i.random.IntN(dayCount - span)
	i.sql("SELECT %s FROM %s WHERE %s BETWEEN ", i.columns, i.from, i.dayColumn())
	i.dayValue(start)
	i.sql(" AND ")
	i.dayValue(start + span)
	rows := i.rows * float64(span) / dayCount
	usualRows := usualDays * i.rows / dayCount
	actual = access{indexed: rows, returned: rows}
	usual = access{indexed: usualRows, returned: usualRows}
	return actual, usual
}

// generatePattern generates a SELECT of the rows whose part has a prefix. A broad pattern has a leading
// wildcard, so that no index can be used.
func generatePattern(i *instance) (actual, usual access) {
	const (
		prefixes          = 400 // one row in 400 has the prefix
		infixes           = 1000
		rowsPerInfixMatch = 50 // one row in 50 contains the infix
	)
	pattern := fmt.Sprintf("p-%03d%%", i.random.IntN(prefixes))
	if i.broad {
		pattern = "%" + fmt.Sprint(i.random.IntN(infixes)) + "%"
		i.hardCase = hardWildcard
	}
	i.sql("SELECT %s FROM %s WHERE %s LIKE ", i.columns, i.from, i.column("part"))
	i.textValue(pattern)
	usual = access{indexed: i.rows / prefixes, returned: i.rows / prefixes}
	if i.broad {
		return access{scanned: i.rows, returned: i.rows / rowsPerInfixMatch}, usual
	}
	return usual, usual
}

// generateDistricts generates a SELECT of the rows of one or two districts in the last 90 days. With broad values,
// it selects all districts.
func generateDistricts(i *instance) (actual, usual access) {
	const (
		lastDays     = 90
		maxDistricts = 2
		scanAbove    = 15 // number of districts above which a scan is cheaper than the index
		// Rows read through the index for each matching row, and a planner's estimate of this number without
		// knowing the values.
		indexedRowsPerMatch      = 6
		usualIndexedRowsPerMatch = 9
	)
	n := 1 + i.random.IntN(maxDistricts)
	if i.broad {
		n = districtCount
		i.hardCase = hardArray
	}
	names := make([]string, n)
	for number := range names {
		names[number] = fmt.Sprintf("d%02d", number)
	}
	i.sql("SELECT %s FROM %s WHERE %s = ANY(", i.columns, i.from, i.column("district"))
	i.arrayValue(names)
	i.sql(") AND %s >= ", i.dayColumn())
	i.dayValue(dayCount - lastDays)
	const shareOfDays = float64(lastDays) / dayCount
	matches := i.rows * shareOfDays * float64(n) / districtCount
	usualMatches := i.rows * shareOfDays / districtCount // of one district
	actual = access{indexed: matches * indexedRowsPerMatch, returned: matches}
	usual = access{indexed: usualMatches * usualIndexedRowsPerMatch, returned: usualMatches}
	if n > scanAbove {
		actual = access{scanned: i.rows, sorted: i.rows * shareOfDays, returned: matches}
	}
	return actual, usual
}

// generateLatest generates a SELECT of the latest rows. The broad limit is above the number of rows in the table.
func generateLatest(i *instance) (actual, usual access) {
	const (
		minLimit   = 10
		limitRange = 40
		usualLimit = 30
		broadLimit = 1000000
	)
	limit := minLimit + i.random.IntN(limitRange)
	if i.broad {
		limit = broadLimit
		i.hardCase = hardLimit
	}
	i.sql("SELECT %s FROM %s ORDER BY %s DESC LIMIT ", i.columns, i.from, i.dayColumn())
	i.intValue(limit)
	rows := math.Min(float64(limit), i.rows)
	actual = access{indexed: rows, returned: rows}
	usual = access{indexed: usualLimit, returned: usualLimit}
	return actual, usual
}

// generateOptionalPart generates a SELECT of the rows of a part, or of all rows if the part is null. The broad
// value is null.
func generateOptionalPart(i *instance) (actual, usual access) {
	part, _ := i.generator.drawPart()
	i.sql("SELECT %s FROM %s WHERE (", i.columns, i.from)
	value := []byte(part)
	if i.broad {
		value = nil
		i.hardCase = hardNull
	}
	switch {
	case i.style != literalValues:
		i.bind(value, formatText, oidText)
		i.sql(" IS NULL OR %s = $1)", i.column("part"))
	case i.broad:
		i.sql("NULL IS NULL OR %s = NULL)", i.column("part"))
	default:
		i.sql("'%s' IS NULL OR %s = '%s')", part, i.column("part"), part)
	}
	usual = access{indexed: i.rowsPerPart, returned: i.rowsPerPart}
	if i.broad {
		return access{scanned: i.rows, returned: i.rows}, usual
	}
	return usual, usual
}
