package observability

import (
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"

	"flaxrelay/internal/logevent"
	"flaxrelay/internal/metrics"

	"github.com/google/go-cmp/cmp"
)

// operationsPage is the page that explains counters and log events to operators.
const operationsPage = "docs/operations.md"

// oldNamesHeading is the heading of the section of the page that lists names of earlier versions.
const oldNamesHeading = "## Names before this version"

func readOperationsPage(t *testing.T) string {
	t.Helper()
	text, err := os.ReadFile(filepath.Join(repositoryRoot, operationsPage))
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}

// pageRow is a row of a table of the page. It maps the headers of the columns to the cells.
type pageRow map[string]string

// tableRows returns the rows of all tables of the page whose first column has the given header.
func tableRows(t *testing.T, firstHeader string) []pageRow {
	t.Helper()
	var rows []pageRow
	var headers []string
	for line := range strings.Lines(readOperationsPage(t)) {
		cells, isRow := splitRow(line)
		switch {
		case !isRow:
			headers = nil
		case headers == nil:
			headers = cells
		case headers[0] == firstHeader && cells[0] != "---":
			row := pageRow{}
			for i, header := range headers {
				row[header] = cells[i]
			}
			rows = append(rows, row)
		}
	}
	if len(rows) == 0 {
		t.Fatalf("%s has no table whose first column is %q", operationsPage, firstHeader)
	}
	return rows
}

// splitRow splits a line of a table into its cells. isRow is false if the line is not part of a table.
func splitRow(line string) (cells []string, isRow bool) {
	line, isRow = strings.CutPrefix(strings.TrimSpace(line), "|")
	if !isRow {
		return nil, false
	}
	for cell := range strings.SplitSeq(strings.TrimSuffix(line, "|"), "|") {
		cells = append(cells, strings.TrimSpace(cell))
	}
	return cells, true
}

// codeWords returns the contents of the code spans of a text.
func codeWords(text string) []string {
	var words []string
	for _, match := range codeSpan.FindAllStringSubmatch(text, -1) {
		words = append(words, match[1])
	}
	return words
}

var codeSpan = regexp.MustCompile("`([^`]+)`")

// codeWord returns the text of a cell that consists of one code span.
func codeWord(t *testing.T, cell string) string {
	t.Helper()
	words := codeWords(cell)
	if len(words) != 1 || cell != "`"+words[0]+"`" {
		t.Fatalf("%s: the cell %q is not a single code span", operationsPage, cell)
	}
	return words[0]
}

func TestOperationsPage_HasTheCountersOfTheCatalog(t *testing.T) {
	declared := map[string]string{}
	for _, counter := range metrics.Catalog() {
		declared[counter.Name] = counter.Help
	}
	documented := map[string]string{}
	for _, row := range tableRows(t, "counter") {
		name := codeWord(t, row["counter"])
		if _, isDuplicate := documented[name]; isDuplicate {
			t.Errorf("%s explains the counter %s twice", operationsPage, name)
		}
		documented[name] = row["counts"]
	}
	if diff := cmp.Diff(declared, documented); diff != "" {
		t.Errorf("counters and their help (-metrics.Catalog +%s):\n%s", operationsPage, diff)
	}
}

func TestOperationsPage_HasTheEventsOfTheCatalog(t *testing.T) {
	type event struct{ Level, Fields, Help string }
	declared := map[string]event{}
	for _, e := range logevent.Catalog() {
		declared[e.Name] = event{strings.ToLower(e.Level.String()), strings.Join(e.Fields, " "), e.Help}
	}
	documented := map[string]event{}
	for _, row := range tableRows(t, "event") {
		name := codeWord(t, row["event"])
		if _, isDuplicate := documented[name]; isDuplicate {
			t.Errorf("%s explains the event %s twice", operationsPage, name)
		}
		documented[name] = event{row["level"], strings.Join(codeWords(row["fields"]), " "), row["meaning"]}
	}
	if diff := cmp.Diff(declared, documented); diff != "" {
		t.Errorf("log events (-logevent.Catalog +%s):\n%s", operationsPage, diff)
	}
}

func TestOperationsPage_HasTheValuesOfEachLabel(t *testing.T) {
	for label, values := range labelValues(t) {
		var documented []string
		for _, row := range tableRows(t, label) {
			documented = append(documented, codeWord(t, row[label]))
		}
		slices.Sort(documented)
		if diff := cmp.Diff(values, documented); diff != "" {
			t.Errorf("values of %s (-program +%s):\n%s", label, operationsPage, diff)
		}
	}
}

// TestOperationsPage_MentionsOnlyDeclaredNames checks the names of counters and events in the page's
// text and tables. A name that ends in .* refers to all names with that prefix.
func TestOperationsPage_MentionsOnlyDeclaredNames(t *testing.T) {
	declared := declaredNames(t)
	areas := map[string]bool{} // the first parts of all names
	for _, name := range declared {
		area, _, _ := strings.Cut(name, ".")
		areas[area] = true
	}
	text, _, found := strings.Cut(readOperationsPage(t), oldNamesHeading)
	if !found {
		t.Fatalf("%s has no section %q", operationsPage, oldNamesHeading)
	}
	for _, word := range codeWords(text) {
		area, _, isDotted := strings.Cut(word, ".")
		if !isDotted || !areas[area] || strings.HasSuffix(word, ".md") {
			continue
		}
		if !slices.ContainsFunc(declared, func(name string) bool { return mentions(word, name) }) {
			t.Errorf("%s mentions %s, which is neither a counter nor an event", operationsPage, word)
		}
	}
}

// declaredNames returns the names of all counters and events. A family of counters is listed with
// its labels as declared, and also with each value of a label that has a fixed set of values.
func declaredNames(t *testing.T) []string {
	t.Helper()
	values := labelValues(t)
	var names []string
	for _, event := range logevent.Catalog() {
		names = append(names, event.Name)
	}
	for _, counter := range metrics.Catalog() {
		names = append(names, counter.Name)
		for label, values := range values {
			if !strings.Contains(counter.Name, "."+label) {
				continue
			}
			for _, value := range values {
				names = append(names, strings.Replace(counter.Name, "."+label, "."+value, 1))
			}
		}
	}
	return names
}

// mentions reports whether a word of the page refers to the name. The word may be the name itself, a
// prefix of the name followed by *, or the name of a family without its last label.
func mentions(word, name string) bool {
	if prefix, isPattern := strings.CutSuffix(word, "*"); isPattern {
		return strings.HasPrefix(name, prefix)
	}
	rest, hasPrefix := strings.CutPrefix(name, word)
	return hasPrefix && (rest == "" || rest[0] == '.' && isLabel(rest))
}
