package workload

import "fmt"

// Sizes of the modeled database.
const (
	districtCount   = 77
	wholesalerCount = 400
	partCount       = 4000 // of each data set
	dayCount        = 3650
	dataSetCount    = 30
)

// table is one table of a data set.
type table struct {
	name      string
	rows      float64
	columns   []string
	dayColumn string
}

// The tables of each data set.
var (
	partsTable     = &table{"parts", 4000, []string{"part", "name", "maker", "kind"}, "listed"}
	stockTable     = &table{"stock", 40000, []string{"part", "wholesaler", "n", "bin"}, "counted"}
	ordersTable    = &table{"orders", 200000, []string{"part", "wholesaler", "district", "n", "price"}, "day"}
	shipmentsTable = &table{"shipments", 120000, []string{"part", "number", "district", "state"}, "sent"}
	pricesTable    = &table{"prices", 80000, []string{"part", "wholesaler", "price"}, "day"}
	returnsTable   = &table{"returns", 20000, []string{"part", "district", "reason"}, "day"}
)

// Lists from which the table of a template is drawn.
var (
	allTables = []*table{partsTable, stockTable, ordersTable, shipmentsTable, pricesTable, returnsTable}
	// wholesalerTables have a wholesaler column.
	wholesalerTables = []*table{stockTable, ordersTable, pricesTable}
	// largeTables have so many rows that scanning one of them makes a statement a report.
	largeTables = []*table{ordersTable, shipmentsTable, pricesTable}
	// largeDistrictTables are the large tables with a district column.
	largeDistrictTables = []*table{ordersTable, shipmentsTable}
)

// popularParts is the number of parts that every shop sells. Each of them has popularPartFactor times as
// many rows as any other part.
const (
	popularParts      = 12
	popularPartFactor = 30
)

// drawPart draws a part by popularity. rowFactor is popularPartFactor for a popular part, and 1 for any other.
func (g *Generator) drawPart() (name string, rowFactor float64) {
	number := int(g.partPopularity.Uint64())
	rowFactor = 1
	if number < popularParts {
		rowFactor = popularPartFactor
	}
	return partName(number), rowFactor
}

func partName(number int) string { return fmt.Sprintf("p-%05d", number) }
