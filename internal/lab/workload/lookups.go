package workload

import (
	"fmt"
	"math"
)

// Reasons why the class of a statement is hard to tell.
const (
	hardLongList  = "a list of thousands"
	hardLongRange = "a range of years"
	hardWildcard  = "a wildcard in front"
	hardArray     = "all districts in an array"
	hardLimit     = "a limit of a million"
	hardNull      = "a null that switches the restriction off"
)

// generateByPart reads the rows of one part.
func generateByPart(i *instance) (actual, usual access) {
	part, rowFactor := i.generator.part()
	i.sql("SELECT %s FROM %s WHERE %s = ", i.columns, i.from, i.column("part"))
	i.textValue(part)
	rows := i.rowsOfOne * rowFactor
	return access{indexed: rows, returned: rows}, access{indexed: i.rowsOfOne, returned: i.rowsOfOne}
}

// generateByPartAndWholesaler reads the row of one part at one wholesaler.
func generateByPartAndWholesaler(i *instance) (actual, usual access) {
	part, _ := i.generator.part()
	i.sql("SELECT %s FROM %s WHERE %s = ", i.columns, i.from, i.column("part"))
	i.textValue(part)
	i.sql(" AND %s = ", i.column("wholesaler"))
	i.intValue(i.random.IntN(wholesalerCount))
	actual = access{indexed: i.rowsOfOne, returned: 1}
	return actual, actual
}

// generatePartList reads the rows of a list of parts; the hard case is a list of thousands.
func generatePartList(i *instance) (actual, usual access) {
	const probeRows = 12 // that the search for one part costs
	const usualParts, usualProbeRows = 5, 60
	n := 2 + i.random.IntN(7)
	if i.broad {
		n = 2000 + i.random.IntN(3000)
		i.hardCase = hardLongList
		i.style = literalValues
	}
	i.sql("SELECT %s FROM %s WHERE %s IN (", i.columns, i.from, i.column("part"))
	for item := range n {
		if item > 0 {
			i.literal(", ")
		}
		part, _ := i.generator.part()
		i.textValue(part)
	}
	i.literal(")")
	parts := float64(n)
	return access{indexed: parts*i.rowsOfOne + probeRows*parts, returned: parts * i.rowsOfOne},
		access{indexed: usualParts*i.rowsOfOne + usualProbeRows, returned: usualParts * i.rowsOfOne}
}

// generateDayRange reads the rows of some days; the hard case is a range of years.
func generateDayRange(i *instance) (actual, usual access) {
	span := 1 + i.random.IntN(3)
	if i.broad {
		span = dayCount - 400 - i.random.IntN(800)
		i.hardCase = hardLongRange
	}
	start := i.random.IntN(dayCount - span)
	i.sql("SELECT %s FROM %s WHERE %s BETWEEN ", i.columns, i.from, i.dayColumn())
	i.dayValue(start)
	i.sql(" AND ")
	i.dayValue(start + span)
	rows, usualRows := i.rows*float64(span)/dayCount, 2*i.rows/dayCount
	return access{indexed: rows, returned: rows}, access{indexed: usualRows, returned: usualRows}
}

// generatePattern searches parts by a prefix; the hard case has a wildcard in front, which no
// index serves.
func generatePattern(i *instance) (actual, usual access) {
	const prefixes, broadMatches = 400, 50 // one row in so many matches
	pattern := fmt.Sprintf("p-%03d%%", i.random.IntN(prefixes))
	if i.broad {
		pattern = "%" + fmt.Sprint(i.random.IntN(1000)) + "%"
		i.hardCase = hardWildcard
	}
	i.sql("SELECT %s FROM %s WHERE %s LIKE ", i.columns, i.from, i.column("part"))
	i.textValue(pattern)
	usual = access{indexed: i.rows / prefixes, returned: i.rows / prefixes}
	if i.broad {
		return access{scanned: i.rows, returned: i.rows / broadMatches}, usual
	}
	return usual, usual
}

// generateDistricts reads the last days of some districts; the hard case names all of them.
func generateDistricts(i *instance) (actual, usual access) {
	const lastDays = 90
	const scanFrom = 15 // districts from which a scan is cheaper than the index
	n := 1 + i.random.IntN(2)
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
	const share = float64(lastDays) / dayCount
	actual = access{indexed: i.rows * share * float64(n) / districtCount * 6, returned: i.rows * share * float64(n) / districtCount}
	usual = access{indexed: i.rows * share / districtCount * 9, returned: i.rows * share / districtCount}
	if n > scanFrom {
		actual.scanned, actual.indexed, actual.sorted = i.rows, 0, i.rows*share
	}
	return actual, usual
}

// generateLatest reads the latest rows; the hard case has a limit above the table's size.
func generateLatest(i *instance) (actual, usual access) {
	const broadLimit, usualLimit = 1000000, 30
	limit := 10 + i.random.IntN(40)
	if i.broad {
		limit = broadLimit
		i.hardCase = hardLimit
	}
	i.sql("SELECT %s FROM %s ORDER BY %s DESC LIMIT ", i.columns, i.from, i.dayColumn())
	i.intValue(limit)
	rows := math.Min(float64(limit), i.rows)
	return access{indexed: rows, returned: rows}, access{indexed: usualLimit, returned: usualLimit}
}

// generateOptionalPart reads the rows of a part, or of all where the part is null, which is the
// hard case.
func generateOptionalPart(i *instance) (actual, usual access) {
	part, _ := i.generator.part()
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
	usual = access{indexed: i.rowsOfOne, returned: i.rowsOfOne}
	if i.broad {
		return access{scanned: i.rows, returned: i.rows}, usual
	}
	return usual, usual
}
