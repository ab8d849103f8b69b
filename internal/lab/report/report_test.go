package report

import (
	"bytes"
	"testing"
)

// Floats have three significant digits in Markdown and CSV.
func TestTable_WritesMarkdownAndCSV(t *testing.T) {
	table := Table{Columns: []string{"name", "share", "n"}}
	table.Add("first", 0.98765, 12)
	csv, err := table.CSV()
	if want := "name,share,n\nfirst,0.988,12\n"; err != nil || csv != want {
		t.Errorf("CSV: %q, %v, want %q", csv, err, want)
	}
	markdown, err := table.Markdown()
	const wantMarkdown = "| name  | share | n  |\n|:------|:------|:---|\n| first | 0.988 | 12 |\n"
	if err != nil || markdown != wantMarkdown {
		t.Errorf("Markdown: %q, %v, want %q", markdown, err, wantMarkdown)
	}
}

// The same values give the same bytes, so that a chart changes only if its values change.
func TestBarChart_SameFiguresGiveTheSameSVG(t *testing.T) {
	bars := BarChart{
		Title: "t", Axis: "share", Groups: []string{"a", "b"}, Series: []string{"s"}, Values: [][]float64{{0.5, 1}},
	}
	first, err := bars.SVG()
	if err != nil || !bytes.Contains(first, []byte("<svg")) {
		t.Fatalf("%.60q, %v", first, err)
	}
	if second, err := bars.SVG(); err != nil || !bytes.Equal(first, second) {
		t.Errorf("the same figures gave a different chart, %v", err)
	}
}
