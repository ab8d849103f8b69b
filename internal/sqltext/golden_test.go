package sqltext

import (
	"crypto/sha256"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"

	"flaxrelay/internal/golden"
)

// goldenStatements are statements whose tokens, analysis and profile are compared in full.
var goldenStatements = []string{
	"",
	" ; -- comment",
	"SELECT day, count(*), max(note) FROM sales_17.orders WHERE tag = '3f9c' GROUP BY day",
	"/* class=report */ SELECT a FROM \"Sales_3\".orders WHERE b IN (1, -2, 3) AND c >= 5 AND c < 9 LIMIT 10;",
	"SELECT a FROM t WHERE b BETWEEN $1 AND $2 OR c LIKE '%x' AND $3 IS NULL",
	"SELECT a FROM t WHERE (b = coalesce($1, b)) AND d = ANY($2::text[]) AND e = ANY (ARRAY[1, 2, 3])",
	"SELECT a FROM t WHERE day > now() - interval '1 year' AND ts >= date '2026-01-01' FETCH FIRST 9 ROWS ONLY",
	"INSERT INTO stock_1.t (a, b) VALUES (1, 'x'), (-2, $1), (3, ARRAY[1, 2]), ((4), 5) ON CONFLICT DO NOTHING",
	"INSERT INTO t VALUES (1, 2), (3, 4), (5, 6), (7, 8); SELECT 1",
	"WITH RECURSIVE q (x) AS MATERIALIZED (SELECT 1), r AS (DELETE FROM t RETURNING *) " +
		"SELECT DISTINCT ON (a) f(b) FROM q",
	"EXPLAIN (ANALYZE, COSTS off) UPDATE t SET a = b - 1, c = E'it\\'s' WHERE d <> U&'\\0061'",
	"EXPLAIN VERBOSE SELECT evil(1)",
	"explain analyse (SELECT pg_catalog.lower(a), public.lower(b), \"Lower\"(c) FROM t FOR NO KEY UPDATE)",
	"SELECT sum(a) FILTER (WHERE b) OVER (PARTITION BY (c) ORDER BY (d)) FROM t GROUP BY GROUPING SETS ((a), ())",
	"MERGE INTO t USING s ON t.a = s.a WHEN MATCHED THEN UPDATE SET b = 0x1F, c = 1_000.5e-3, d = .5, e = 1..2",
	"SELECT $$ text $$, $tag$ $$ $tag$, $1, $, B'01', x'1F', N'n', 'a''b' \n 'c', \"q\"\"uoted\" FROM t -- end",
	"SELECT a <<<>>> b, c||d, e->>'f', -g, @ h, i OPERATOR(pg_catalog.+) j, k::numeric(10,2), l := 1, m[1:2]",
	"SELECT 'open",
	"SELECT /* open /* nested */ 1",
	"SELECT 'back\\' || 'slash', \"\x00\", '\xff', caf\xc3\xa9",
	"SELECT a FROM t WHERE NULL IS NULL OR b = 'p' AND c SIMILAR TO 'x(y|z)' AND d ~* '^[a-z]' AND e NOT IN (SELECT 1)",
	"SELECT a FROM t WHERE b IN (1, (2, 3), 4) AND c = ANY('{1,\"2,3\"}') HAVING count(*) > 2 " +
		"ORDER BY 1 LIMIT 5 OFFSET 6",
	"SELECT a FROM x WHERE a BETWEEN SYMMETRIC - 5 AND + 7 AND b < timestamp '2026-01-01 00:00'" +
		" AND c > timestamptz '2025'",
	"DO $$ BEGIN DELETE FROM t; END $$",
	"COPY t TO stdout",
	"SELECT DISTINCT ON (a) evil(b) FROM t",
	"SELECT DISTINCT (a) alias(b), c AS evil (d) FROM t",
	"SELECT (WITH ), (evil(1))",
	"WITH q (x) AS (WITH r (z) AS (SELECT 1), s AS (SELECT lower(y)) SELECT 2), t (u) AS (SELECT 3) SELECT 4",
	"SELECT a FROM t WHERE b > interval '90 m'",
	"SELECT a FROM t WHERE c < interval '2 days 3 mons 1h 30' AND d < interval '- 5 min'",
	"(VALUES (1), (2)) UNION TABLE staging_4.t JOIN my_5 . u USING (a) CROSS JOIN LATERAL g(1) WITH ORDINALITY",
}

// goldenFragments are the fragments that composeStatement chooses from.
var goldenFragments = []string{
	"SELECT", "INSERT INTO", "UPDATE", "DELETE", "MERGE", "EXPLAIN", "ANALYZE", "VERBOSE", "WITH", "RECURSIVE", "AS",
	"FROM", "JOIN", "ON", "USING", "WHERE", "AND", "OR", "NOT", "IN", "ANY", "SOME", "ARRAY", "BETWEEN", "SYMMETRIC",
	"LIKE", "SIMILAR TO", "IS", "NULL", "LIMIT", "OFFSET", "FETCH", "FIRST", "NEXT", "GROUP BY", "ORDER BY",
	"HAVING", "OVER", "PARTITION BY", "FILTER", "WITHIN", "DISTINCT", "FOR", "KEY", "SHARE", "NO", "VALUES",
	"INTERVAL", "COALESCE", "NULLIF", "TABLE", "CREATE", "CALL", "OPERATOR", "MATERIALIZED", "GROUPING SETS", "date",
	"timestamptz", "timestamp", "(", "(", "(", ")", ")", ")", "[", "]", ",", ",", ",", ".", "::", ":", ":=", ";",
	"=", "<", "<=", ">", ">=", "<>", "~", "~~*", "-", "+", "*", "->>", "@@", "<--x\n", "1", "-2", "3.5e2", "0x1f",
	"7_0", "'x'", "'%y'", "'2026-01-01'", "'3 days'", "E'\\''", "U&'z'", "B'1'", "$$d$$", "$t$ e $t$", "'open", "$1",
	"$2", "$3", "$99999999", "$", "t", "Big_Name", "\"Quoted\"", "\"plain\"", "sales_17", "\"stock_3\"", "staging_2",
	"count", "Sum", "lower", "evil", "pg_catalog", "caf\xc3\xa9", "\xff", "--c\r", "/* c */", "/*",
}

// composeStatement returns a statement that consists of random fragments and separators.
func composeStatement(rng *rand.Rand) string {
	separators := []string{" ", " ", " ", " ", "", "\n", "/**/"}
	var stmt strings.Builder
	for range 1 + rng.IntN(40) {
		stmt.WriteString(goldenFragments[rng.IntN(len(goldenFragments))])
		stmt.WriteString(separators[rng.IntN(len(separators))])
	}
	return stmt.String()
}

// goldenBinds are the bound values of each profile, in text and in binary form.
func goldenBinds() []*Binds {
	values := [][]byte{[]byte("{a,\"b,c\",d}"), nil, []byte("2026-01-01")}
	binary := [][]byte{bigEndian(4711, 4), binaryArray(7), bigEndian(86400e6*7, 8)}
	typeOIDs := append(append(bigEndian(oidInt4, 4), bigEndian(1009, 4)...), bigEndian(oidTimestamp, 4)...)
	return []*Binds{{}, {Values: values}, {Values: binary, Formats: []byte{0, 1}, TypeOIDs: typeOIDs}}
}

// describeStatement formats everything that the package returns for a statement, except the fingerprint, whose seeds
// are random.
func describeStatement(stmt string) string {
	var out strings.Builder
	fmt.Fprintf(&out, "statement %q\n", stmt)
	lexer := Lexer{Src: stmt}
	for token := lexer.Next(); token.Kind != EndOfText; token = lexer.Next() {
		fmt.Fprintf(&out, " %d:%d-%d/%x/%d/%d/%v", token.Kind, token.Start, token.End,
			token.hash(), token.class(), token.keyword(), token.hasUpper())
	}
	fmt.Fprintf(&out, "\n flaws %05b\n", lexer.Flaws)

	dataset, hasDataset := DatasetOf(stmt)
	word, multiple := FirstWord(stmt)
	comment, hasComment := LeadingComment(stmt)
	fmt.Fprintf(&out, " dataset %d %v, first word %q %v, comment %q %v, rest %q\n",
		dataset, hasDataset, word, multiple, comment, hasComment, SkipComments(stmt))
	readOnly := Functions{"stock.price_of": true, "is_open": true}
	verdict := EffectOf(stmt, readOnly)
	fmt.Fprintf(&out, " effect %v, reason %q, word %q\n", verdict.Effect, verdict.Reason, verdict.Word)

	analyzer := NewAnalyzer()
	for _, analyze := range []func() *Analysis{
		func() *Analysis { return analyzer.Analyze(stmt) },
		func() *Analysis { return analyzer.AnalyzeAndClassify(stmt, readOnly) },
	} {
		analysis := analyze()
		fmt.Fprintf(&out, " analysis %q truncated=%v dataset=%d/%v restrictions=%d unrestricted=%v\n",
			analysis.NormalForm, analysis.Truncated, analysis.Dataset, analysis.HasDataset,
			analysis.Restrictions, analysis.Unrestricted)
		fmt.Fprintf(&out, "  effect %v, reason %q, word %q, first word %q, several=%v\n", analysis.Verdict.Effect,
			analysis.Verdict.Reason, analysis.Verdict.Word, analysis.FirstWord, analysis.MultipleStatements)
		fmt.Fprintf(&out, "  features %+v\n  slots %+v\n", analysis.Features, analysis.Slots)
		for _, binds := range goldenBinds() {
			profile := analysis.Profile(stmt, binds, 7)
			fmt.Fprintf(&out, "  profile %+v bucket %x\n", profile, profile.Bucket())
		}
	}
	return out.String()
}

// The results for the statements in goldenStatements are compared in full. The results for composed statements are
// compared by one hash for each block of statements.
func TestResults_MatchGolden(t *testing.T) {
	var out strings.Builder
	for _, stmt := range goldenStatements {
		out.WriteString(describeStatement(stmt))
	}
	const (
		blocks             = 40
		statementsPerBlock = 250
	)
	for seed := range uint64(blocks) {
		rng := rand.New(rand.NewPCG(seed, 1))
		digest := sha256.New()
		for range statementsPerBlock {
			digest.Write([]byte(describeStatement(composeStatement(rng))))
		}
		fmt.Fprintf(&out, "composed statements of seed %d: %x\n", seed, digest.Sum(nil))
	}
	golden.Compare(t, "testdata/results.golden", []byte(out.String()))
}
