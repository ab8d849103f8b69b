package report

import (
	"bytes"
	"testing"
)

func TestTable_WritesMarkdownAndCSV(t *testing.T) {
	table := Table{Columns: []string{"name", "share", "n"}}
	table.Add("whole", 0.98765, 12)
	csv, err := table.CSV()
	if want := "name,share,n\nwhole,0.988,12\n"; err != nil || csv != want {
		t.Errorf("CSV: %q, %v, want %q", csv, err, want)
	}
	markdown, err := table.Markdown()
	if want := "| name  | share | n  |\n|:------|:------|:---|\n| whole | 0.988 | 12 |\n"; err != nil || markdown != want {
		t.Errorf("Markdown: %q, %v, want %q", markdown, err, want)
	}
}

// The same figures give the same bytes, so that a chart that changed has other figures.
func TestBars_SameFiguresGiveTheSameSVG(t *testing.T) {
	bars := Bars{Title: "t", Axis: "share", Groups: []string{"a", "b"}, Series: []string{"s"}, Values: [][]float64{{0.5, 1}}}
	first, err := bars.SVG()
	if err != nil || !bytes.Contains(first, []byte("<svg")) {
		t.Fatalf("%.60q, %v", first, err)
	}
	if second, err := bars.SVG(); err != nil || !bytes.Equal(first, second) {
		t.Errorf("another drawing, %v", err)
	}
}
