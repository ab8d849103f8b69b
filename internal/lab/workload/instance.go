package workload

import (
	"fmt"
	"math/rand/v2"
	"strings"
)

// instance is one statement of a template while it is generated.
type instance struct {
	textBuilder
	generator   *Generator
	random      *rand.Rand
	template    *template
	dataSet     int     // N in the name of its schema, stock_N
	rows        float64 // current number of rows of the table
	rowsPerPart float64 // number of rows of a part that is not popular
	broad       bool    // whether to use the broad values of the family, if it has any
	hardCase    string  // why broad values make the class hard to determine; "": no broad values
	tableName   string
	from        string // the table with its alias
	alias       string
	columns     string // the selected columns
}

// newInstance returns a new statement of a template, without its text. It chooses the data set at random, sets the
// names of the table and its columns, and decides with probability Options.HardShare that the values are broad, such
// as a list of thousands of parts. The orders table has growth times its initial number of rows.
func (g *Generator) newInstance(t *template, growth float64) *instance {
	i := &instance{generator: g, random: g.random, template: t}
	i.style = t.style
	i.lowerCase = t.lowerCase
	i.dataSet = 1 + int(g.dataSetPopularity.Uint64())
	i.rows = t.table.rows
	if t.table == ordersTable {
		i.rows *= growth
	}
	i.rowsPerPart = i.rows / partCount
	i.broad = g.random.Float64() < g.options.HardShare
	i.drawNames()
	return i
}

func (i *instance) drawNames() {
	t := i.template
	i.tableName = fmt.Sprintf("stock_%d.%s", i.dataSet, t.table.name)
	if t.aliased {
		i.alias = t.table.name[:1]
	}
	if t.oneOff {
		const names = 1 << 30 // enough to make it unlikely that a name is drawn twice
		i.tableName = fmt.Sprintf("stock_%d.%s_%d", i.dataSet, t.table.name, i.random.IntN(names))
		i.alias = fmt.Sprintf("t_%d", i.random.IntN(names))
	}
	i.from = i.tableName
	if i.alias != "" {
		i.from += " " + i.alias
	}
	qualified := make([]string, len(t.columns))
	for n, column := range t.columns {
		qualified[n] = i.column(column)
	}
	i.columns = strings.Join(qualified, ", ")
}

// column returns the name of a column, qualified if the table has an alias.
func (i *instance) column(name string) string {
	if i.alias == "" {
		return name
	}
	return i.alias + "." + name
}

// dayColumn returns the name of the column that holds the day of a row.
func (i *instance) dayColumn() string { return i.column(i.template.table.dayColumn) }

// instantiate generates a statement of a template with random values. usualMS is the work that a planner would
// expect without knowing the values.
func (g *Generator) instantiate(t *template, growth float64) (statement Statement, usualMS float64) {
	i := g.newInstance(t, growth)
	if t.family == loadBatch {
		return i.load()
	}
	actual, usual := familySpecs[t.family].generate(i)
	statement = i.statement()
	statement.WorkMS = actual.workMS()
	if g.random.Float64() < uncachedShare {
		statement.WorkMS *= uncachedFactor
	}
	statement.Class = ClassLookup
	if statement.WorkMS >= MinReportMS {
		statement.Class = ClassReport
		statement.HardCase = i.hardCase // a lookup on a small table stays a lookup even with broad values
	}
	return statement, usual.workMS()
}

// statement returns the text with its bound values.
func (i *instance) statement() Statement {
	return Statement{Text: i.text.String(), Values: i.values, Formats: i.formats, Types: i.types}
}
