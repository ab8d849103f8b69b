package workload

// generateDistrictTotals generates a SELECT that groups the rows of the last months by district. It counts the
// rows of each district and sums one of their columns.
func generateDistrictTotals(i *instance) (actual, usual access) {
	const (
		maxMonths    = 12
		usualDays    = 186
		scannedShare = 0.8 // of the table
	)
	months := 1 + i.random.IntN(maxMonths)
	i.sql("SELECT %s, count(*), sum(%s) FROM %s WHERE %s >= ",
		i.column("district"), i.column("n"), i.from, i.dayColumn())
	i.dayValue(dayCount - daysPerMonth*months)
	i.sql(" AND %s < ", i.dayColumn())
	i.dayValue(dayCount - 1)
	i.sql(" GROUP BY %s ORDER BY 2 DESC", i.column("district"))
	scanned := i.rows * scannedShare
	grouped := i.rows * float64(daysPerMonth*months) / dayCount
	usualGrouped := i.rows * usualDays / dayCount
	actual = access{scanned: scanned, grouped: grouped, returned: districtCount}
	usual = access{scanned: scanned, grouped: usualGrouped, returned: districtCount}
	return actual, usual
}

// generateTopParts generates a SELECT that joins the table with the parts table and returns the parts with
// the most rows.
func generateTopParts(i *instance) (actual, usual access) {
	const (
		limit        = 20
		groupedOneIn = 4 // one row in 4 is grouped
	)
	i.sql("SELECT p.name, max(%s), count(*) FROM %s JOIN stock_%d.parts p USING (part) WHERE p.kind = ",
		i.column(i.template.columns[0]), i.from, i.dataSet)
	i.textValue("gear")
	i.sql(" GROUP BY p.name ORDER BY 3 DESC LIMIT ")
	i.intValue(limit)
	actual = access{scanned: i.rows, joined: i.rows, grouped: i.rows / groupedOneIn, sorted: partCount, returned: limit}
	return actual, actual
}

// generateRanking generates a SELECT that ranks the rows of each district.
func generateRanking(i *instance) (actual, usual access) {
	const (
		sortedOneIn   = 2 // one row in 2 is sorted
		returnedOneIn = 20
	)
	i.sql("SELECT %s, %s, rank() OVER (PARTITION BY %s ORDER BY %s) FROM %s",
		i.column("district"), i.column("part"), i.column("district"), i.dayColumn(), i.from)
	actual = access{scanned: i.rows, sorted: i.rows / sortedOneIn, returned: i.rows / returnedOneIn}
	return actual, actual
}

// generateDistinct generates a SELECT of the distinct values of the selected columns. Its WHERE clause matches
// all rows, because no part has the excluded name.
func generateDistinct(i *instance) (actual, usual access) {
	const (
		sortedOneIn   = 3 // one row in 3 is sorted
		returnedOneIn = 8
	)
	i.sql("SELECT DISTINCT %s FROM %s WHERE %s <> ", i.columns, i.from, i.column("part"))
	i.textValue("p-0")
	actual = access{scanned: i.rows, sorted: i.rows / sortedOneIn, returned: i.rows / returnedOneIn}
	return actual, actual
}
