package workload

import (
	"math"
	"math/rand/v2"
)

// family is a kind of statement that programs send. The order of the families must be lookups, reports, loads.
type family int

const (
	lookupByPart family = iota
	lookupByPartAndWholesaler
	lookupPartList
	lookupDayRange
	lookupPattern
	lookupDistricts
	lookupLatest
	lookupOptionalPart
	reportDistrictTotals
	reportTopParts
	reportRanking
	reportDistinct
	loadBatch
)

// The first report and the first load among the families.
const (
	firstReport = reportDistrictTotals
	firstLoad   = loadBatch
)

// Shares of the templates that are lookups and reports, and weights of the families. Over seeds 1 to 6, the
// statements are 76 to 84 % lookups, 10 to 19 % reports and 4 to 6 % loads. The percentages do not count hard
// cases, writes and shapes that occur once.
const (
	lookupTemplates = 0.72
	reportTemplates = 0.2
	lookupWeight    = 1
	reportWeight    = 0.7
	loadWeight      = 0.65
)

// generateFunc writes the text of one statement. It returns two accesses: actual for the values of the
// statement, and usual for typical values.
type generateFunc func(*instance) (actual, usual access)

// familySpec describes how the statements of a family are generated.
type familySpec struct {
	generate generateFunc // nil for loads, whose cost does not depend on an access
	tables   []*table     // nil: all tables
	weight   float64
}

// familySpecs are the specifications of all families.
var familySpecs = [...]familySpec{
	lookupByPart:              {generateByPart, nil, lookupWeight},
	lookupByPartAndWholesaler: {generateByPartAndWholesaler, wholesalerTables, lookupWeight},
	lookupPartList:            {generatePartList, nil, lookupWeight},
	lookupDayRange:            {generateDayRange, largeTables, lookupWeight},
	lookupPattern:             {generatePattern, largeTables, lookupWeight},
	lookupDistricts:           {generateDistricts, largeDistrictTables, lookupWeight},
	lookupLatest:              {generateLatest, largeTables, lookupWeight},
	lookupOptionalPart:        {generateOptionalPart, largeTables, lookupWeight},
	reportDistrictTotals:      {generateDistrictTotals, largeDistrictTables, reportWeight},
	reportTopParts:            {generateTopParts, largeDistrictTables, reportWeight},
	reportRanking:             {generateRanking, largeDistrictTables, reportWeight},
	reportDistinct:            {generateDistinct, largeDistrictTables, reportWeight},
	loadBatch:                 {nil, nil, loadWeight},
}

// valueStyle is the way in which a program passes values.
type valueStyle int

const (
	literalValues valueStyle = iota // written into the text
	textValues                      // bound as text
	binaryValues                    // bound in binary form; values of type text are bound as text
	valueStyles
)

// template is a statement without its values, as one program writes it.
type template struct {
	family    family
	table     *table
	columns   []string
	style     valueStyle
	lowerCase bool // keywords in lower case
	oneOff    bool
	aliased   bool
}

// newTemplate draws the family, the table, the columns and the style of a template.
func newTemplate(random *rand.Rand) *template {
	const (
		lowerCaseOneIn = 2
		aliasedOneIn   = 3
	)
	t := &template{family: drawFamily(random)}
	t.style = valueStyle(random.IntN(int(valueStyles)))
	t.lowerCase = random.IntN(lowerCaseOneIn) == 0
	t.aliased = random.IntN(aliasedOneIn) == 0
	t.table = drawTable(random, allTables)
	if tables := familySpecs[t.family].tables; tables != nil {
		// The table of the first draw is discarded. The draw itself is necessary, because a seed must give the
		// same traffic as in earlier versions.
		t.table = drawTable(random, tables)
	}
	n := 1 + random.IntN(len(t.table.columns))
	for _, column := range random.Perm(len(t.table.columns))[:n] {
		t.columns = append(t.columns, t.table.columns[column])
	}
	return t
}

// weight returns the relative frequency of a recurring template. It depends on the family, and falls with
// the rank, which counts from 0.
func (t *template) weight(rank int) float64 {
	const rankExponent = 0.6
	return 1 / math.Pow(float64(rank+1), rankExponent) * familySpecs[t.family].weight
}

func drawTable(random *rand.Rand, from []*table) *table { return from[random.IntN(len(from))] }

func drawFamily(random *rand.Rand) family {
	switch u := random.Float64(); {
	case u < lookupTemplates:
		return family(random.IntN(int(firstReport)))
	case u < lookupTemplates+reportTemplates:
		return firstReport + family(random.IntN(int(firstLoad-firstReport)))
	}
	return loadBatch
}
