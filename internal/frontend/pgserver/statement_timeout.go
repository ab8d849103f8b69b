package pgserver

import (
	"strconv"
	"strings"
	"time"

	"flaxrelay/internal/pgproto"
	"flaxrelay/internal/sqltext"
)

// statementTimeoutName is the only session setting that is supported.
const statementTimeoutName = "statement_timeout"

var timeoutUnits = map[string]time.Duration{
	"":    time.Millisecond,
	"us":  time.Microsecond,
	"ms":  time.Millisecond,
	"s":   time.Second,
	"min": time.Minute,
	"h":   time.Hour,
	"d":   24 * time.Hour,
}

// setStatementTimeout sets the time-out of the client's statements. Its error is a
// *pgproto.Error.
func (c *connection) setStatementTimeout(text string) error {
	timeout, e := parseStatementTimeout(text)
	if e != nil {
		return e
	}
	c.statementTimeout = timeout
	return nil
}

// parseStatementTimeout reads a time as PostgreSQL writes it: in milliseconds, or with a
// unit. It is 0 for "default".
func parseStatementTimeout(text string) (time.Duration, *pgproto.Error) {
	text = strings.Trim(strings.TrimSpace(text), "'")
	if strings.EqualFold(text, "default") {
		return 0, nil
	}
	digits := strings.TrimRight(text, "abcdefghijklmnopqrstuvwxyz ")
	unit, ok := timeoutUnits[strings.TrimSpace(text[len(digits):])]
	number, err := strconv.ParseUint(digits, 10, 31)
	if !ok || err != nil {
		return 0, newError(codeInvalidParameterValue, "invalid value for parameter \"statement_timeout\": %q", text)
	}
	return time.Duration(number) * unit, nil
}

// applySetting carries out a SET of statement_timeout, the one SET that the server serves
// itself, and reports whether the query was that.
func (c *connection) applySetting(query string) (done bool, e *pgproto.Error) {
	value, ok := statementTimeoutValue(query)
	if !ok {
		return false, nil
	}
	timeout, e := parseStatementTimeout(value)
	if e != nil {
		return false, e
	}
	c.statementTimeout = timeout
	c.send(pgproto.ServerCommandComplete, pgproto.CString("SET"))
	c.endSimpleQuery()
	return true, nil
}

// statementTimeoutValue returns the value of a SET [SESSION] statement_timeout.
func statementTimeoutValue(query string) (value string, ok bool) {
	query = strings.TrimRight(sqltext.SkipComments(query), "; \t\r\n")
	words := strings.Fields(strings.ReplaceAll(query, "=", " = "))
	if len(words) > 1 && strings.EqualFold(words[1], "SESSION") {
		words = append(words[:1], words[2:]...)
	}
	if len(words) < 4 || !strings.EqualFold(words[0], "SET") || !strings.EqualFold(words[1], statementTimeoutName) {
		return "", false
	}
	if words[2] != "=" && !strings.EqualFold(words[2], "TO") {
		return "", false
	}
	return strings.Join(words[3:], " "), true
}
