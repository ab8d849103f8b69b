package sqltext

import (
	"encoding/binary"
	"fmt"
	"slices"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// Statements that differ only in values, case, spacing, comments and the length of lists
// share a normal form. Other statements have different normal forms.
func TestNormalForm_HidesValuesAndSpelling(t *testing.T) {
	for want, stmts := range map[string][]string{
		"select day, count(*) from sales_#.orders where tag = ? group by day": {
			"SELECT day, count(*) FROM sales_17.orders WHERE tag = '3f9c' GROUP BY day",
			"/* class=report */ select  day , COUNT ( * ) from \"sales_3\".orders where tag=$1 group by day -- x",
			"SELECT day,count(*)FROM sales_4.orders WHERE tag=E'\\'' GROUP BY day;",
		},
		"select a from t where b in (?) and c > ?": {
			"SELECT a FROM t WHERE b IN (1, 2, -3) AND c > -5",
			"SELECT a FROM t WHERE b IN ($1) AND c > $2",
			"SELECT a FROM t WHERE b IN (" + strings.Repeat("'x', ", 5000) + "'y') AND c > 1.5e3",
		},
		"insert into t(a, b) values (?, ?) on conflict do nothing": {
			"INSERT INTO t (a, b) VALUES ($1, $2) ON CONFLICT DO NOTHING",
			"INSERT INTO t (a, b) VALUES (1, 'x'), (2, 'y'), (3, 'z') ON CONFLICT DO NOTHING",
		},
		"select f(?, ?), f(?, ?, ?), - a, b - ?":     {"SELECT f(1,2), f(1,2,3), -a, b - 1"},
		"select \"A\", \"select\", b, x::int from t": {"SELECT \"A\", \"select\", \"b\", X::INT FROM t"},
		"select a from t where b = any (array[?])": {
			"SELECT a FROM t WHERE b = ANY (ARRAY[1,2,3])",
			"SELECT a FROM t WHERE b = any(array[1])",
		},
		"values (?, ?)": {"VALUES (1, 2), (3, 4)", "VALUES (5, 6)"},
		"select a from t where b in (select c from u where d = ?)": {
			"SELECT a FROM t WHERE b IN (SELECT c FROM u WHERE d = 1)",
		},
	} {
		for _, stmt := range stmts {
			analyzer := NewAnalyzer()
			if diff := cmp.Diff(want, string(analyzer.Analyze(stmt).NormalForm)); diff != "" {
				t.Errorf("%.80s:\n%s", stmt, diff)
			}
		}
	}
}

// bigEndian encodes the lowest size bytes of a number in big-endian order.
func bigEndian(n uint64, size int) []byte {
	encoded := make([]byte, 8)
	binary.BigEndian.PutUint64(encoded, n)
	return encoded[8-size:]
}

// binaryArray returns a one-dimensional array of n texts in binary form.
func binaryArray(n int) []byte {
	const oidText = 25
	array := slices.Concat(
		bigEndian(1, 4), bigEndian(0, 4), bigEndian(oidText, 4), bigEndian(uint64(n), 4), bigEndian(1, 4))
	for range n {
		array = append(append(array, bigEndian(2, 4)...), "ab"...)
	}
	return array
}

// The values of an execution distinguish a broad report from a lookup of the same statement shape.
func TestProfile_DistinguishesReportFromLookupOfSameShape(t *testing.T) {
	text := func(values ...string) (binds Binds) {
		for _, value := range values {
			if value == "NULL" {
				binds.Values = append(binds.Values, nil)
			} else {
				binds.Values = append(binds.Values, []byte(value))
			}
		}
		return binds
	}
	bin := func(typeOID uint64, values ...[]byte) Binds {
		binds := Binds{Values: values, Formats: []byte{0, 1}}
		for range values {
			binds.TypeOIDs = append(binds.TypeOIDs, bigEndian(typeOID, 4)...)
		}
		return binds
	}
	for _, tt := range []struct {
		stmt  string
		binds Binds
		want  Profile
	}{
		{"SELECT a FROM t WHERE part = $1", text("p1"), Profile{}},
		{"SELECT a FROM t WHERE part IN (" + strings.Repeat("1,", 4999) + "1)", Binds{}, Profile{Alternatives: 5000}},
		{"SELECT a FROM t WHERE part = ANY($1)", text("{a,\"b,c\",d}"), Profile{Alternatives: 3}},
		{"SELECT a FROM t WHERE part = ANY($1::text[])", bin(1009, binaryArray(77)), Profile{Alternatives: 77}},
		{"SELECT a FROM t WHERE part = ANY('{1,2}')", Binds{}, Profile{Alternatives: 2}},
		{"SELECT a FROM t WHERE day BETWEEN $1 AND $2", text("2016-01-01", "2026-01-01"), Profile{Span: 3653}},
		{"SELECT a FROM t WHERE day >= date '2026-01-01' AND day < '2026-02-01'", Binds{}, Profile{Span: 31}},
		{
			"SELECT a FROM t WHERE day >= $1 AND day <= $2", bin(1082, bigEndian(100, 4), bigEndian(465, 4)),
			Profile{Span: 365},
		},
		{
			"SELECT a FROM t WHERE ts >= $1 AND ts <= $2", bin(1114, bigEndian(0, 8), bigEndian(86400e6*7, 8)),
			Profile{Span: 7},
		},
		{"SELECT a FROM t WHERE n BETWEEN -5 AND 5", Binds{}, Profile{Span: 10}},
		{"SELECT a FROM t WHERE day > now() - interval '1 year'", Binds{}, Profile{Span: 365.25}},
		{"SELECT a FROM t WHERE day >= $1", text("2026-01-01"), Profile{HalfOpen: true}},
		{"SELECT a FROM t WHERE name LIKE '%x%'", Binds{}, Profile{Wildcard: LeadingWildcard, Unrestricted: true}},
		{"SELECT a FROM t WHERE name LIKE $1", text("x%"), Profile{Wildcard: InnerWildcard}},
		{"SELECT a FROM t WHERE b = 1 LIMIT $1", text("1000000"), Profile{RowLimit: 1e6}},
		{"SELECT a FROM t WHERE b = 1 LIMIT $1", bin(20, bigEndian(50, 8)), Profile{RowLimit: 50}},
		{"SELECT a FROM t FETCH FIRST 9 ROWS ONLY", Binds{}, Profile{RowLimit: 9, Unrestricted: true}},
		{
			"SELECT a FROM t WHERE $1 IS NULL OR part = $1", text("NULL"),
			Profile{DisabledRestrictions: 1, Unrestricted: true},
		},
		{"SELECT a FROM t WHERE ($1::text IS NULL OR part = $1)", text("p"), Profile{}},
		{
			"SELECT a FROM t WHERE part = coalesce($1, part)", text("NULL"),
			Profile{DisabledRestrictions: 1, Unrestricted: true},
		},
		{"SELECT a FROM t WHERE NULL IS NULL OR part = 'p'", Binds{}, Profile{Unrestricted: true}},
		{"SELECT a FROM t WHERE 1 = 1", Binds{}, Profile{Unrestricted: true}},
		{"SELECT a FROM t JOIN u ON t.x = u.y", Binds{}, Profile{Unrestricted: true}},
		{"INSERT INTO t VALUES (1, 2), (3, 4), (5, 6)", Binds{}, Profile{Rows: 3}},
		{"SELECT a FROM t WHERE part = ANY($1)", bin(1009, bigEndian(9, 2)), Profile{}},
		{"SELECT a FROM t WHERE part = ANY($1)", bin(1009, append(bigEndian(6, 4), make([]byte, 60)...)), Profile{}},
	} {
		got := NewAnalyzer().Analyze(tt.stmt).Profile(tt.stmt, &tt.binds, 1)
		got.Key = 0
		got.Column = 0
		if diff := cmp.Diff(tt.want, got); diff != "" {
			t.Errorf("%.80s:\n%s", tt.stmt, diff)
		}
	}
}

// The key of a value is the same for a literal and a bound value, in text and in binary form.
func TestProfile_KeyIsIndependentOfFormat(t *testing.T) {
	key := func(stmt string, binds Binds) uint64 {
		return NewAnalyzer().Analyze(stmt).Profile(stmt, &binds, 7).Key
	}
	want := key("SELECT a FROM t WHERE part = 4711", Binds{})
	binary := Binds{Values: [][]byte{bigEndian(4711, 4)}, Formats: []byte{0, 1}, TypeOIDs: bigEndian(oidInt4, 4)}
	for _, got := range []uint64{
		key("SELECT a FROM t WHERE part = '4711'", Binds{}),
		key("SELECT a FROM t WHERE part = $1", Binds{Values: [][]byte{[]byte("4711")}}),
		key("SELECT a FROM t WHERE part = $1", binary),
	} {
		if got != want || want == 0 {
			t.Errorf("key %x, want %x", got, want)
		}
	}
}

// The fingerprint of a long statement also covers the parts of its normal form that the result does not contain.
func TestFingerprint_CoversTruncatedNormalForm(t *testing.T) {
	a := NewAnalyzer()
	long := strings.Repeat("a_column_of_note, ", 5000) + "b FROM t"
	first := *a.Analyze("SELECT x, " + long)
	normalForm := string(first.NormalForm)
	other := *a.Analyze("SELECT y, " + long)
	equal := string(other.NormalForm) == normalForm
	if !first.Truncated || !other.Truncated || !equal {
		t.Fatalf("truncated %v and %v, and the returned parts are equal: %v", first.Truncated, other.Truncated, equal)
	}
	if first.Fingerprint == other.Fingerprint {
		t.Error("two statements that differ only in a part that is not returned have the same fingerprint")
	}
	if again := a.Analyze("select X, " + long); again.Fingerprint != first.Fingerprint {
		t.Error("a statement with the same normal form has a different fingerprint")
	}
}

// The analysis terminates for any text, and agrees with EffectOf, FirstWord and DatasetOf. Its slots lie within the
// text, and the normal form is not longer than about twice the text.
func FuzzAnalyzer(f *testing.F) {
	f.Add("SELECT a FROM t WHERE b IN (1, -2) AND c LIKE '%x' LIMIT 5", []byte{0, 1, 2, 3})
	f.Add("INSERT INTO s_1.t VALUES (1, ARRAY[2,3]), ((4)) ; VALUES IN (VALUES", []byte{})
	f.Add("ARRAY[IN(ARRAY[IN(1,(2,-", []byte{9})
	f.Fuzz(func(t *testing.T, stmt string, value []byte) {
		analysis := NewAnalyzer().AnalyzeAndClassify(stmt, nil)
		if want := EffectOf(stmt, nil); analysis.Verdict != want {
			t.Fatalf("%q: verdict %v by AnalyzeAndClassify, %v by EffectOf", stmt, analysis.Verdict, want)
		}
		first, multiple := FirstWord(stmt)
		if strings.ToUpper(analysis.FirstWord) != first || analysis.MultipleStatements != multiple {
			t.Fatalf("%q: first word %q, multiple statements %v by AnalyzeAndClassify; %q, %v by FirstWord",
				stmt, analysis.FirstWord, analysis.MultipleStatements, first, multiple)
		}
		dataset, hasDataset := DatasetOf(stmt)
		if analysis.Dataset != dataset || analysis.HasDataset != hasDataset {
			t.Fatalf("%q: dataset %d, %v by AnalyzeAndClassify; %d, %v by DatasetOf",
				stmt, analysis.Dataset, analysis.HasDataset, dataset, hasDataset)
		}
		if len(analysis.NormalForm) > 2*len(stmt)+16 {
			t.Fatalf("normal form of %d bytes for a statement of %d bytes", len(analysis.NormalForm), len(stmt))
		}
		for _, slot := range analysis.Slots {
			if slot.From < 0 || slot.To < slot.From || int(slot.To) > len(stmt) || slot.Count < 0 {
				t.Fatalf("invalid slot %+v of a statement of %d bytes", slot, len(stmt))
			}
		}
		for _, formats := range [][]byte{nil, {0, 1}} {
			binds := &Binds{Values: [][]byte{value, nil, value}, Formats: formats, TypeOIDs: value}
			profile := analysis.Profile(stmt, binds, 1)
			_ = profile.Bucket()
			minCount := min(profile.Alternatives, profile.DisabledRestrictions)
			if minCount < 0 || profile.Span < 0 || profile.RowLimit < 0 {
				t.Fatalf("profile with a negative value: %+v", profile)
			}
		}
	})
}

// usualStmt is a statement of typical length.
const usualStmt = "SELECT o.day, count(*), max(o.note) FROM sales_17.orders o JOIN sales_17.parts p ON p.id = o.part " +
	"WHERE o.tag = $1 AND o.day BETWEEN $2 AND $3 AND o.status IN ('open', 'late') GROUP BY o.day ORDER BY 1 LIMIT 50"

// usualLookup is the statement that makes up most of the traffic.
const usualLookup = "SELECT part, n FROM stock_17.stock WHERE part = 'p-00017'"

// benchmarkAnalyze measures the analysis of a statement together with the profile of one execution.
func benchmarkAnalyze(b *testing.B, stmt string, binds *Binds) {
	b.Helper()
	analyzer := NewAnalyzer()
	b.ReportAllocs()
	b.SetBytes(int64(len(stmt)))
	for b.Loop() {
		profile := analyzer.Analyze(stmt).Profile(stmt, binds, 1)
		_ = profile.Bucket()
	}
}

func BenchmarkAnalyze_Lookup(b *testing.B) { benchmarkAnalyze(b, usualLookup, &Binds{}) }

func BenchmarkAnalyze_Short(b *testing.B) {
	const short = "SELECT day, count(*), max(note) FROM sales_17.orders WHERE tag = '3f9c' GROUP BY day"
	benchmarkAnalyze(b, short, &Binds{})
}

func BenchmarkAnalyze_Usual(b *testing.B) {
	const (
		oidText = 25
		oidDate = 1082
	)
	benchmarkAnalyze(b, usualStmt, &Binds{
		Values:   [][]byte{[]byte("3f9c"), bigEndian(100, 4), bigEndian(130, 4)},
		Formats:  []byte{0, 0, 0, 1, 0, 1},
		TypeOIDs: slices.Concat(bigEndian(oidText, 4), bigEndian(oidDate, 4), bigEndian(oidDate, 4)),
	})
}

func BenchmarkAnalyze_Long(b *testing.B) {
	var rows, list strings.Builder
	for i := range 20000 {
		fmt.Fprintf(&rows, "('P-%07d', 'hall-a', %d, 'spoke set for a 28 inch wheel'), ", i, i*7)
		fmt.Fprintf(&list, "'P-%07d', ", i)
	}
	elements := strings.TrimSuffix(list.String(), ", ")
	for name, stmt := range map[string]string{
		"rows":    "INSERT INTO stock_1.batches VALUES " + strings.TrimSuffix(rows.String(), ", "),
		"list":    "SELECT a FROM stock_1.parts WHERE part IN (" + elements + ")",
		"comment": "SELECT 1 /* " + strings.Repeat("x ", 500000) + "*/",
		"words":   "SELECT " + strings.Repeat("a_column_of_note, ", 60000) + "b FROM t",
	} {
		b.Run(name, func(b *testing.B) {
			analyzer := NewAnalyzer()
			b.SetBytes(int64(len(stmt)))
			for b.Loop() {
				analyzer.Analyze(stmt)
			}
		})
	}
	b.Run("effect", func(b *testing.B) {
		stmt := "SELECT a FROM stock_1.parts WHERE part IN (" + elements + ")"
		b.SetBytes(int64(len(stmt)))
		for b.Loop() {
			EffectOf(stmt, nil)
		}
	})
}
