package sqltext

import (
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// A statement that may write is never classified as read-only, however it is written.
func TestEffectOf_NeverReadOnlyIfStatementMayWrite(t *testing.T) {
	readOnly := Functions{"stock.price_of": true, "is_open": true}
	for stmt, want := range map[string]Effect{
		"DELETE FROM t":                EffectWrites,
		" /* c */ UPDATE t SET a = 1":  EffectWrites,
		"MERGE INTO t USING s ON true": EffectWrites,
		"CREATE TABLE x AS SELECT 1":   EffectWrites,
		"TRUNCATE t":                   EffectWrites,
		"SELECT a INTO x FROM t":       EffectWrites,
		"SELECT 1INTO x FROM t":        EffectWrites,
		"SELECT $1INTO x":              EffectWrites,
		"WITH d AS (DELETE FROM t RETURNING *) SELECT * FROM d":                    EffectWrites,
		"WITH RECURSIVE d(a) AS (SELECT 1), e AS (insert into t select 1) TABLE d": EffectWrites,
		"SELECT * FROM t FOR UPDATE":                                               EffectWrites,
		"SELECT * FROM t FOR NO KEY UPDATE":                                        EffectWrites,
		"SELECT * FROM t FOR KEY SHARE SKIP LOCKED":                                EffectWrites,
		"EXPLAIN ANALYZE DELETE FROM t":                                            EffectWrites,
		"EXPLAIN (ANALYZE, BUFFERS) DELETE FROM t":                                 EffectWrites,
		"EXPLAIN (\"analyze\" on) DELETE FROM t":                                   EffectWrites,
		"explain analyse verbose update t set a = 1":                               EffectWrites,
		"EXPLAIN ANALYZE CREATE TABLE x AS SELECT 1":                               EffectWrites,
		"SELECT 1 -- x\rFROM t FOR UPDATE":                                         EffectWrites,
		"SELECT 1 /* a /* b */ */ FROM x; DELETE FROM t":                           EffectWrites,
		"SELECT 'a''' , b FROM t FOR SHARE":                                        EffectWrites,
		"SELECT E'a\\'', b FROM t FOR SHARE":                                       EffectWrites,
		"SELECT E'a'\n'\\'', b FROM t FOR SHARE":                                   EffectWrites,

		"SELECT setval('s', 1)":                                   EffectUnknown,
		"SELECT \"setval\" ('s', 1)":                              EffectUnknown,
		"SELECT pg_catalog.setval('s', 1)":                        EffectUnknown,
		"SELECT setval/**/('s', 1)":                               EffectUnknown,
		"SELECT public.lower('s')":                                EffectUnknown,
		"SELECT DISTINCT ON (a) setval('s', 1)":                   EffectUnknown,
		"SELECT a FROM unnest(x) WITH ORDINALITY, setval('s', 1)": EffectUnknown,
		"WITH a AS (SELECT 1) SELECT 2, setval('s', 1)":           EffectUnknown,
		"WITH a AS (SELECT 1, evil(2)) SELECT 2":                  EffectUnknown,

		// Guards against a statement that may write and is run twice: a call after a comma was taken for the name of a
		// further common table expression with its columns, if the main statement stands in parentheses.
		"WITH a AS (SELECT 1) (SELECT b FROM a) ORDER BY b, evil(b)":                                     EffectUnknown,
		"WITH a AS (SELECT 1) ((SELECT b FROM a)) ORDER BY b, evil(b)":                                   EffectUnknown,
		"WITH a AS (SELECT 1) (VALUES (1)) UNION (SELECT 2) ORDER BY 1, evil(2)":                         EffectUnknown,
		"WITH a (b) AS NOT MATERIALIZED (SELECT 1), c AS (SELECT 2) (SELECT 3) LIMIT 1, evil(1)":         EffectUnknown,
		"SELECT * FROM (WITH a AS (SELECT 1) (SELECT 2) ORDER BY 1, evil(2)) b":                          EffectUnknown,
		"WITH RECURSIVE a AS (SELECT 1) SEARCH DEPTH FIRST BY b, c SET d (SELECT 2) ORDER BY 1, evil(2)": EffectUnknown,
		"WITH \"a\" AS (SELECT 1) (SELECT 2) ORDER BY 1, \"evil\"(2)":                                    EffectUnknown,
		"WITH a AS (SELECT 1) (SELECT 2) ORDER BY 1, evil\n(2)":                                          EffectUnknown,
		"EXPLAIN ANALYZE WITH a AS (SELECT 1) (SELECT 2) ORDER BY 1, evil(2)":                            EffectUnknown,

		"WITH a AS (SELECT 1) (SELECT b FROM a) ORDER BY b, lower(b)":                   EffectReads,
		"WITH a (b) AS MATERIALIZED (SELECT 1), c (d) AS (SELECT 2) (SELECT 3)":         EffectReads,
		"WITH a AS (WITH b (c) AS (SELECT 1), d (e) AS (SELECT 2) (SELECT 3)) SELECT 4": EffectReads,
		"SELECT \"Lower\"('s')":                   EffectUnknown,
		"SELECT 1 WHERE a = over(1)":              EffectUnknown,
		"SELECT 1 WHERE a IN (1) AND join(1) > 0": EffectUnknown,
		"EXPLAIN ANALYZE SELECT evil()":           EffectUnknown,
		"EXPLAIN ANALYZE EXECUTE p":               EffectUnknown,
		"DO $$ BEGIN DELETE FROM t; END $$":       EffectUnknown,
		"CALL f()":                                EffectUnknown,
		"EXECUTE p":                               EffectUnknown,
		"NOTIFY x":                                EffectUnknown,
		"":                                        EffectUnknown,
		"xyz":                                     EffectUnknown,
		"SELECT 'open":                            EffectUnknown,
		"SELECT 1 /* open":                        EffectUnknown,
		"SELECT 'a\\' || 'b'":                     EffectUnknown,
		"SELECT U&'\\0061'":                       EffectUnknown,
		"SELECT U&\"\\0073etval\"('s', 1)":        EffectUnknown,
		"SELECT a OPERATOR(evil.+) b":             EffectUnknown,
		"SELECT a <<<>>> b":                       EffectUnknown,
		"SELECT '\xff'":                           EffectUnknown,

		"SELECT query_to_xml('DELETE FROM t', true, true, '')": EffectUnknown,

		"SELECT day, count(*), max(note) FROM sales_17.orders WHERE tag = '3f9c' GROUP BY day": EffectReads,
		"select pg_catalog.now(), is_open(x), Stock.Price_Of(y) from t":                        EffectReads,
		"(SELECT 1) UNION ALL (SELECT 2)":                                                      EffectReads,
		"VALUES (1), (2)":                                                                      EffectReads,
		"TABLE t":                                                                              EffectReads,
		"SHOW timezone":                                                                        EffectReads,
		"EXPLAIN DELETE FROM t":                                                                EffectReads,
		"EXPLAIN (COSTS off) SELECT evil()":                                                    EffectReads,
		"EXPLAIN ANALYZE VERBOSE (SELECT 1)":                                                   EffectReads,
		"WITH a (x, y) AS MATERIALIZED (SELECT 1, 2), b(z) AS (SELECT 3) SELECT * FROM a":               EffectReads,
		"SELECT t.update, 'DELETE', \"insert\" AS delete FROM t -- INSERT":                              EffectReads,
		"SELECT a::numeric(10,2), CAST(b AS varchar(3)) FROM t AS u(a, b)":                              EffectReads,
		"SELECT sum(a) FILTER (WHERE b) OVER (PARTITION BY (c) ORDER BY (d)) FROM t":                    EffectReads,
		"SELECT * FROM a LEFT JOIN (SELECT 1) b USING (x) WHERE c NOT LIKE ('x')":                       EffectReads,
		"SELECT i FROM generate_series(1, 9) g(i) WHERE i = ANY ($1) AND $2 IS NULL":                    EffectReads,
		"SELECT a #>> '{b}', c->>'d', -e, f||g, h !~* 'i', 1.5e-3, $$ DELETE $$ FROM t":                 EffectReads,
		"SELECT substring(a FROM 1 FOR 3), position('a' IN b) FROM t":                                   EffectReads,
		"SELECT percentile_cont(0.5) WITHIN GROUP (ORDER BY a) FROM t GROUP BY GROUPING SETS ((a), ())": EffectReads,
	} {
		got := EffectOf(stmt, readOnly)
		if got.Effect != want {
			t.Errorf("%s: %v (%v), want %v", stmt, got.Effect, got, want)
		}
		if analyzed := NewAnalyzer().AnalyzeAndClassify(stmt, readOnly).Verdict; analyzed != got {
			t.Errorf("%s: %v by AnalyzeAndClassify, %v by EffectOf", stmt, analyzed, got)
		}
	}
}

// A lock at the end of a long or deeply nested text is detected.
func TestEffectOf_FindsLockAfterLongText(t *testing.T) {
	for _, fill := range []string{
		"(", "[", "a,", "'x' ", "/* */", "E'\\\\' ", "$$x$$ ", "1.", "\"q\"", "WITH a AS (", "f.", "'a'\n",
	} {
		text := "SELECT " + strings.Repeat(fill, 1<<20/len(fill)) + " 1 FOR UPDATE"
		if got := EffectOf(text, nil); got.Effect == EffectReads {
			t.Errorf("%d bytes of %q: %v", len(text), fill, got)
		}
	}
}

// Tokens lie within the text, in order and without overlap, and no statement that locks rows
// at its end is classified as read-only.
func FuzzLexer(f *testing.F) {
	for _, stmt := range []string{
		"SELECT 'a''b', $x$ y $x$ FROM s_1.t -- c\n/* d /* e */", "E'\\", "$a$", "U&\"x", "1..2", "a<--b\r'c'\n'd'",
		"::=:", "$1$$x$$",
	} {
		f.Add(stmt)
	}
	f.Fuzz(func(t *testing.T, stmt string) {
		l := Lexer{Src: stmt}
		end := 0
		for tok := l.Next(); tok.Kind != EndOfText; tok = l.Next() {
			if tok.Start < end || tok.End <= tok.Start || tok.End > len(stmt) || l.Pos != tok.End {
				t.Fatalf("token %+v after position %d; the lexer is at %d of %d bytes", tok, end, l.Pos, len(stmt))
			}
			end = tok.End
		}
		DatasetOf(stmt)
		FirstWord(stmt)
		if text, ok := LeadingComment(stmt); ok && !strings.Contains(stmt, text) {
			t.Fatalf("the leading comment %q is not part of %q", text, stmt)
		}
		SkipComments(stmt)
		HasTokenPrefix(stmt, stmt)
		if EffectOf(stmt, nil).Effect == EffectReads && l.Flaws&^NonASCII == 0 {
			isExplain := strings.HasPrefix(strings.ToUpper(SkipComments(stmt)), "EXPLAIN")
			if got := EffectOf(stmt+"\n FOR UPDATE", nil); got.Effect == EffectReads && !isExplain {
				t.Fatalf("%q is read-only even if FOR UPDATE follows", stmt)
			}
		}
	})
}

// A write is detected regardless of comments, white space and the case of letters, also within a statement that is
// otherwise read-only.
func TestEffectOf_DetectsDisguisedWrites(t *testing.T) {
	writes := []string{
		"DELETE FROM t", "UPDATE t SET a = 1", "INSERT INTO t VALUES ( 1 )", "SELECT a INTO x FROM t",
		"SELECT setval ( 's' , 1 )", "SELECT a FROM t FOR NO KEY UPDATE", "CALL f ( )", "SELECT public . lower ( 'a' )",
		"SELECT \"Count\" ( a ) FROM t", "SELECT a FROM t , LATERAL evil ( t . b ) x",
		"SELECT CASE WHEN evil ( a ) THEN 1 END FROM t", "SELECT a [ evil ( 1 ) ] FROM t",
		"SELECT DISTINCT ON ( a ) evil ( b ) FROM t", "SELECT a FROM t ORDER BY evil ( a )",
		"SELECT a FROM t WHERE a IN ( evil ( 1 ) )", "( SELECT a FROM t ) ORDER BY a , evil ( a )",
		"WITH x AS ( SELECT 1 ) ( SELECT a FROM x ) ORDER BY a , evil ( a )",
		"WITH x AS ( SELECT 1 ) VALUES ( 1 , evil ( 2 ) )", "WITH x AS ( SELECT 1 ) TABLE x ORDER BY a , evil ( a )",
	}
	separators := []string{" ", "\n", "\t", "/**/", "/* a /* b */ 'c */", "--x\n", "-- '\r", " /* ; */ ", "\f"}
	wraps := []string{
		"%s", "WITH q AS ( %s ) SELECT 1", "EXPLAIN ANALYZE %s", "EXPLAIN ( ANALYZE , COSTS off ) %s",
		"explain analyse verbose %s", "SELECT 1 FROM ( %s ) z", "( %s )",
		"WITH a ( b ) AS ( SELECT 1 ) , q AS MATERIALIZED ( %s ) SELECT 2",
		"WITH a ( b ) AS ( SELECT 1 ) , q AS ( SELECT 2 ) ( %s ) ORDER BY 1 , 2", "WITH a AS ( %s ) ( SELECT 1 )",
	}
	rapid.Check(t, func(t *rapid.T) {
		wrap := rapid.SampledFrom(wraps).Draw(t, "wrap")
		write := rapid.SampledFrom(writes).Draw(t, "write")
		var stmt strings.Builder
		for word := range strings.FieldsSeq(strings.Replace(wrap, "%s", write, 1)) {
			if !strings.ContainsAny(word, "'\"") && rapid.Bool().Draw(t, "small") {
				word = strings.ToLower(word)
			}
			stmt.WriteString(word)
			stmt.WriteString(rapid.SampledFrom(separators).Draw(t, "separator"))
		}
		if got := EffectOf(stmt.String(), nil); got.Effect == EffectReads {
			t.Fatalf("%q is classified as read-only", stmt.String())
		}
	})
}
