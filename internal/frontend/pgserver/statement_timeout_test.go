package pgserver

import (
	"testing"
	"time"
)

func TestSetStatementTimeout_ReadsTimesAsPostgreSQLWritesThem(t *testing.T) {
	for text, want := range map[string]time.Duration{
		"0": 0, "250": 250 * time.Millisecond, "'2s'": 2 * time.Second, "1 min": time.Minute, "DEFAULT": 0,
	} {
		var settings sessionSettings
		failure := settings.setStatementTimeout(text)
		if failure != nil || settings.statementTimeout != want {
			t.Errorf("%q: got %v, %v; want %v", text, settings.statementTimeout, failure, want)
		}
	}
}

func TestSetStatementTimeout_InvalidTimeIsAnErrorAndChangesNothing(t *testing.T) {
	for _, text := range []string{"", "-1", "5 weeks", "1.5s", "99999999999"} {
		settings := sessionSettings{statementTimeout: time.Second}
		failure := settings.setStatementTimeout(text)
		if failure == nil || failure.Code != codeInvalidParameterValue || settings.statementTimeout != time.Second {
			t.Errorf("%q: got %v, %v", text, settings.statementTimeout, failure)
		}
	}
}

func TestStatementTimeoutValue_ReadsOnlyASetOfStatementTimeout(t *testing.T) {
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
