package sqltext

import (
	"strings"
	"testing"

	"flaxrelay/internal/growthtest"
)

// repeated returns a text of the given length in bytes: the prefix, and the pattern again and again.
func repeated(prefix, pattern string, length int) string {
	return prefix + strings.Repeat(pattern, max(length-len(prefix), 0)/len(pattern)+1)[:length-len(prefix)]
}

// analyzeFully calls every function of this package that reads the text of a statement.
func analyzeFully(stmt string) {
	analysis := NewAnalyzer().AnalyzeAndClassify(stmt, Functions{})
	analysis.Profile(stmt, &Binds{}, 1)
	EffectOf(stmt, Functions{})
	DatasetOf(stmt)
	FirstWord(stmt)
	SkipComments(stmt)
	HasTokenPrefix(stmt, "SELECT a FROM b")
	_, _ = LeadingComment(stmt)
}

// checkAnalysisIsLinear checks that the analysis of such texts takes a time that is linear in their length.
func checkAnalysisIsLinear(t *testing.T, prefix, pattern string) {
	t.Helper()
	const length = 1000
	times := growthtest.Measure(length, func(length int) func() {
		stmt := repeated(prefix, pattern, length)
		return func() { analyzeFully(stmt) }
	})
	if !times.Linear() {
		t.Errorf("%q and then %q: %+v", prefix, pattern, times)
	}
}

// Guards against a statement of operator characters that stops the front end for all clients: the rest of a run of +
// and - was scanned again for each of them.
func TestLexer_RunOfSignsTakesLinearTime(t *testing.T) {
	for _, pattern := range []string{"+", "+-", "*+", "+*", "+-+", "-+ ", "<+", "@+"} {
		checkAnalysisIsLinear(t, "", pattern)
		checkAnalysisIsLinear(t, "SELECT 1", pattern)
	}
}

// The tokens of a run of signs do not depend on where the scan of the run begins.
func TestLexer_RunOfSignsIsSplitAsBefore(t *testing.T) {
	for text, want := range map[string]string{
		"+-+":       "+|-|+",
		"*+-":       "*|+|-",
		"+-*+":      "+-*|+",
		"@+-":       "@+-",
		"+-+--x":    "+|-|+",
		"+-/* */+-": "+|-|+|-",
		"+- +-":     "+|-|+|-",
		"+-1+-":     "+|-|1|+|-",
		"=-+!=-":    "=-+!=-",
		"+-@ +-":    "+-@|+|-",
		"<=-":       "<=|-",
	} {
		lexer := Lexer{Src: text}
		var tokens []string
		for token := lexer.Next(); token.Kind != EndOfText; token = lexer.Next() {
			tokens = append(tokens, lexer.Text(token))
		}
		if got := strings.Join(tokens, "|"); got != want {
			t.Errorf("%q: got %s, want %s", text, got, want)
		}
	}
}

// growthPrefixes begin the texts of TestAnalysis_TakesLinearTime.
var growthPrefixes = []string{
	"", "SELECT ", "SELECT a FROM t WHERE b IN (1, ", "INSERT INTO t VALUES (1, 2), ", "WITH ",
}

// growthPatterns are repeated in the texts of TestAnalysis_TakesLinearTime. Each is the unit of a loop of the analysis.
var growthPatterns = []string{
	"a", "a ", "aB", "a_1.", "a.b ", "\"q\"", "\"", "''", "' ", "'a' ", "'\n' ", "'--\n", "E'\\", "E'\\' ", "U&'", "N'",
	"$", "$a", "$a$", "$$", "$1", "$1 ", "$1 IS ", "1", "1 ", "1.", ".", "..", "1e+", "0x", "1_", "é", "\x00", "\xff",
	"(", ")", "()", ")(", "[", "]", "[1", ",", ", ", "1,", "1, ", "(1,2),", "(1,", "((1),2),", "(-1),", ":", "::", ":=",
	";",
	"-", "--", "--\n", "- ", "-1 ", "/", "/*", "/**/", "*/", "/* */ ", "/*/", "=", "<", "<>", "<=1 ", "!",
	"@", "%", "?",
	"#",
	"count ", "count(", "count /**/", "sum /* ", "IN (", "IN (1, ", "ARRAY[", "ARRAY[1,", "ANY(",
	"VALUES (1),", "VALUES ",
	"WITH ", "WITH a AS (", "a AS (SELECT 1), ", "SELECT ", "SELECT 1 UNION ", "FROM a_1.b, ", "a_1.b,",
	"JOIN a USING (b) ",
	"BETWEEN 1 AND ", "b = 1 AND ", "LIKE 'a%' OR ", "interval '1 day' + ", "FETCH FIRST ", "DISTINCT ON (",
	"FOR UPDATE ",
	"EXPLAIN ", "EXPLAIN (ANALYZE ", "f(", "f(1),", "s.f(", "\"f\"(", "coalesce($1,", "a OPERATOR(x.+) ",
	"\n", "\t", "\r",
}

// Guards against any text of a client that stops the front end for all others: each loop of the analysis is tried.
func TestAnalysis_TakesLinearTime(t *testing.T) {
	for _, prefix := range growthPrefixes {
		for _, pattern := range growthPatterns {
			checkAnalysisIsLinear(t, prefix, pattern)
		}
	}
}
