package workload

import "fmt"

// Work of a load in milliseconds on one core.
const (
	loadBaseMS    = 1200
	loadRowMS     = 17
	usualLoadRows = 110
)

// load generates an INSERT of many rows. Its only bound value is the idempotency key, which all rows contain.
func (i *instance) load() (statement Statement, usualMS float64) {
	const (
		minRows     = 20
		rowsRange   = 180
		maxQuantity = 500
	)
	rows := minRows + i.random.IntN(rowsRange)
	if i.style == literalValues {
		i.style = textValues
	}
	i.sql("INSERT INTO %s (key, %s, n) VALUES ", i.tableName, i.template.columns[0])
	for row := range rows {
		if row == 0 {
			i.literal("(")
			i.textValue(fmt.Sprintf("batch-%08x", i.random.Uint32()))
		} else {
			i.literal(", ($1")
		}
		i.literal(", '%s', %d)", partName(i.random.IntN(partCount)), i.random.IntN(maxQuantity))
	}
	statement = i.statement()
	statement.Class = ClassLoad
	statement.Key = 1
	statement.WorkMS = loadBaseMS + loadRowMS*float64(rows)
	return statement, loadBaseMS + loadRowMS*usualLoadRows
}

// writeFormats are the formats of statements that change stored data. Some of them resemble lookups. The
// arguments of each format are the number of a data set and the number of a part.
var writeFormats = []string{
	"DELETE FROM stock_%d.returns WHERE part = 'p-%05d'",
	"UPDATE stock_%d.stock SET n = n - 1 WHERE part = 'p-%05d'",
	"MERGE INTO stock_%d.stock s USING stock_1.parts p ON s.part = p.part AND p.part = 'p-%05d' " +
		"WHEN MATCHED THEN DELETE",
	"WITH gone AS (DELETE FROM stock_%d.returns WHERE part = 'p-%05d' RETURNING *) SELECT count(*) FROM gone",
	"SELECT part FROM stock_%d.stock WHERE part = 'p-%05d' FOR UPDATE",
	"SELECT part INTO stock_%d.x FROM stock_2.parts WHERE part = 'p-%05d'",
	"SELECT setval('stock_%d.numbers', %d)",
	"EXPLAIN ANALYZE DELETE FROM stock_%d.returns WHERE part = 'p-%05d'",
	"SELECT stock_%d.book_in('p-%05d')",
	"SELECT 1 -- looks at one part\r; DELETE FROM stock_%d.returns WHERE part = 'p-%05d'",
	"CREATE TABLE stock_%d.copy AS SELECT * FROM stock_1.parts WHERE part = 'p-%05d'",
	"/* a lookup */ CALL stock_%d.close_month(%d)",
}

// writeMS is the usual work of a write in milliseconds on one core.
const writeMS = 300

// write generates a statement that writes and is not a load.
func (g *Generator) write(growth float64) Statement {
	format := writeFormats[g.random.IntN(len(writeFormats))]
	text := fmt.Sprintf(format, 1+g.random.IntN(dataSetCount), g.random.IntN(partCount))
	s := Statement{Text: text, Class: ClassWrite, Template: TemplateWrite, WorkMS: writeMS * growth}
	return g.finish(s, writeMS)
}
