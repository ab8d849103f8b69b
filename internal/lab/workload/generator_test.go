package workload

import (
	"encoding/binary"
	"fmt"
	"regexp"
	"slices"
	"strings"
	"testing"
	"time"
)

// generateStatements returns the statements of a workload.
func generateStatements(options Options, number int) []Statement {
	generator := New(options, number)
	statements := make([]Statement, number)
	for i := range statements {
		statements[i] = generator.Next()
	}
	return statements
}

// The work and the class of a statement depend on its execution, and not on how a program writes the text.
func TestGenerator_CostDoesNotDependOnTheText(t *testing.T) {
	for index := range familySpecs {
		for _, hardShare := range []float64{0, 1} {
			instantiate := func(style valueStyle, lowerCase, aliased bool) (Statement, float64) {
				written := &template{
					family: family(index), table: ordersTable, columns: ordersTable.columns[:2],
					style: style, lowerCase: lowerCase, aliased: aliased,
				}
				return New(Options{Seed: 1, Templates: 1, HardShare: hardShare}, 1).instantiate(written, 1)
			}
			want, wantUsualMS := instantiate(literalValues, false, false)
			for style := range valueStyles {
				for _, lowerCase := range []bool{false, true} {
					got, gotUsualMS := instantiate(style, lowerCase, true)
					if got.WorkMS != want.WorkMS || gotUsualMS != wantUsualMS || got.Class != want.Class ||
						got.HardCase != want.HardCase {
						t.Errorf("%s: class %s, %q, %g ms, usually %g ms\n%s: class %s, %q, %g ms, usually %g ms",
							got.Text, got.Class, got.HardCase, got.WorkMS, gotUsualMS,
							want.Text, want.Class, want.HardCase, want.WorkMS, wantUsualMS)
					}
				}
			}
		}
	}
}

// A statement binds a value, with its format and type, for each parameter of its text. Only a load has an
// idempotency key, which is one of its values.
func TestGenerator_BindsAValueForEachParameter(t *testing.T) {
	const (
		formatSize = 2
		typeSize   = 4
	)
	parameter := regexp.MustCompile(`\$\d+`)
	for _, s := range generateStatements(Defaults(1), 3000) {
		parameters := parameter.FindAllString(s.Text, -1)
		slices.Sort(parameters)
		parameters = slices.Compact(parameters)
		var want []string
		for i := range s.Values {
			want = append(want, fmt.Sprintf("$%d", i+1))
		}
		slices.Sort(want)
		if !slices.Equal(parameters, want) {
			t.Errorf("%s: parameters %q for %d values", s.Text, parameters, len(s.Values))
		}
		if len(s.Formats) != formatSize*len(s.Values) || len(s.Types) != typeSize*len(s.Values) {
			t.Errorf("%s: %d bytes of formats and %d of types for %d values",
				s.Text, len(s.Formats), len(s.Types), len(s.Values))
		}
		if (s.Key > 0) != (s.Class == ClassLoad) || s.Key > len(s.Values) {
			t.Errorf("%s: the key of a %s is value %d of %d", s.Text, s.Class, s.Key, len(s.Values))
		}
	}
}

// Only statements with broad values are hard cases, and all hard cases are reports.
func TestGenerator_HardCasesAreReports(t *testing.T) {
	options := Defaults(1)
	options.HardShare = 0.5
	cases := map[string]int{}
	for _, s := range generateStatements(options, 3000) {
		if s.HardCase == "" {
			continue
		}
		cases[s.HardCase]++
		if s.Class != ClassReport {
			t.Errorf("%s: class %s with the hard case %q", s.Text, s.Class, s.HardCase)
		}
	}
	for _, name := range []string{hardLongList, hardLongRange, hardWildcard, hardArray, hardLimit, hardNull} {
		if cases[name] == 0 {
			t.Errorf("no statement has the hard case %q", name)
		}
	}
	options.HardShare = 0
	for _, s := range generateStatements(options, 3000) {
		if s.HardCase != "" {
			t.Errorf("%s: hard case %q without broad values", s.Text, s.HardCase)
		}
	}
}

// Each statement of a one-off shape has a unique table name, and therefore a unique shape.
func TestGenerator_OneOffShapesDoNotRecur(t *testing.T) {
	tableName := regexp.MustCompile(`stock_\d+\.[a-z]+_\d+`)
	seen := map[string]bool{}
	for _, s := range generateStatements(Options{Seed: 1, OneOffShare: 1}, 2000) {
		name := tableName.FindString(s.Text)
		if s.Template != TemplateOneOff || name == "" || seen[name] {
			t.Errorf("template %d, table %q: %s", s.Template, name, s.Text)
		}
		seen[name] = true
	}
}

func TestGenerator_OrdersGrowOnceAtTheDrift(t *testing.T) {
	for _, test := range []struct {
		driftFrom float64
		want      []float64
	}{
		{0.6, []float64{1, 1, 1, 3, 3}},
		{0, []float64{1, 1, 1, 1, 1}},
	} {
		generator := New(Options{Seed: 1, DriftFrom: test.driftFrom, DriftFactor: 3}, len(test.want))
		var growth []float64
		for range test.want {
			growth = append(growth, generator.growth())
			generator.Next()
		}
		if !slices.Equal(growth, test.want) {
			t.Errorf("drift from %g: growth %g, want %g", test.driftFrom, growth, test.want)
		}
	}
}

// Every modeled day has a valid date in each style of values, and the first is 2016-01-01.
func TestDayValue_IsAValidDate(t *testing.T) {
	const first = "2016-01-01"
	for number := range dayCount {
		literal := textBuilder{style: literalValues}
		literal.dayValue(number)
		date := strings.Trim(literal.text.String(), "'")
		if _, err := time.Parse(time.DateOnly, date); err != nil || number == 0 && date != first {
			t.Errorf("day %d: literal %s, %v", number, date, err)
		}
		text := textBuilder{style: textValues}
		text.dayValue(number)
		if bound := string(text.values[0]); bound != date {
			t.Errorf("day %d: bound text %s, literal %s", number, bound, date)
		}
	}
	encoded := textBuilder{style: binaryValues}
	encoded.dayValue(0)
	days := int(binary.BigEndian.Uint32(encoded.values[0]))
	epoch := time.Date(2000, time.January, 1, 0, 0, 0, 0, time.UTC)
	if date := epoch.AddDate(0, 0, days).Format(time.DateOnly); date != first {
		t.Errorf("day 0 in binary form is %s", date)
	}
}
