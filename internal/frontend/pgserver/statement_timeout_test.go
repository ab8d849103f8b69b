package pgserver

import "testing"

func TestSetStatementTimeout_ReadsTimesAsPostgreSQLWritesThem(t *testing.T) {
	for text, want := range map[string]int64{
		"0": 0, "250": 250, "'2s'": 2000, "1 min": 60000, "DEFAULT": 0,
		"": -1, "-1": -1, "5 weeks": -1, "1.5s": -1, "99999999999": -1,
	} {
		var settings sessionSettings
		err := settings.setStatementTimeout(text)
		if got := settings.statementTimeout.Milliseconds(); (err != nil) != (want < 0) || err == nil && got != want {
			t.Errorf("%q: got %d ms, %v", text, got, err)
		}
	}
}

func TestStatementTimeoutValue_FindsTheOneSettingServedHere(t *testing.T) {
	for query, want := range map[string]string{
		"SET statement_timeout = '5s'":                   "'5s'",
		"set session STATEMENT_TIMEOUT to 250;":          "250",
		"/* class=lookup */ SET statement_timeout=1 min": "1 min",
		"SET statement_timeout":                          "",
		"SET search_path = x":                            "",
		"SELECT statement_timeout = 5":                   "",
	} {
		value, ok := statementTimeoutValue(query)
		if value != want || ok != (want != "") {
			t.Errorf("%q: got %q, %v; want %q", query, value, ok, want)
		}
	}
}
