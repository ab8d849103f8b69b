package pgserver

import (
	"strconv"
	"strings"
	"time"

	"flaxrelay/internal/pgproto"
	"flaxrelay/internal/sqltext"
	"flaxrelay/policy"
)

// statementTimeoutName is the only session setting that is supported.
const statementTimeoutName = "statement_timeout"

// timeoutUnits are the units of a timeout in the syntax of PostgreSQL.
var timeoutUnits = map[string]time.Duration{
	"":    time.Millisecond,
	"us":  time.Microsecond,
	"ms":  time.Millisecond,
	"s":   time.Second,
	"min": time.Minute,
	"h":   time.Hour,
	"d":   24 * time.Hour,
}

// sessionSettings are the settings that a client may change for its session.
type sessionSettings struct {
	statementTimeout time.Duration // 0: the deadline of the statement's class applies
}

// setStatementTimeout sets the timeout of the client's statements.
func (s *sessionSettings) setStatementTimeout(text string) *pgproto.Error {
	timeout, failure := parseStatementTimeout(text)
	if failure != nil {
		return failure
	}
	s.statementTimeout = timeout
	return nil
}

// timeout returns how long the client waits for a request of the class.
func (s *sessionSettings) timeout(class policy.Class) time.Duration {
	if s.statementTimeout > 0 {
		return s.statementTimeout
	}
	return class.Deadline
}

// maxTimeoutBits is the maximum size in bits of the number before the unit of a timeout: PostgreSQL stores the number
// as a signed 32-bit integer.
const maxTimeoutBits = 31

// parseStatementTimeout parses a timeout in the syntax of PostgreSQL: a number of milliseconds, or a number with a
// unit. It returns 0 for "default".
func parseStatementTimeout(text string) (time.Duration, *pgproto.Error) {
	text = strings.Trim(strings.TrimSpace(text), "'")
	if strings.EqualFold(text, "default") {
		return 0, nil
	}
	digits := strings.TrimRight(text, "abcdefghijklmnopqrstuvwxyz ")
	unit, ok := timeoutUnits[strings.TrimSpace(text[len(digits):])]
	number, err := strconv.ParseUint(digits, 10, maxTimeoutBits)
	if !ok || err != nil {
		return 0, newError(codeInvalidParameterValue, "invalid value for parameter \"statement_timeout\": %q", text)
	}
	return time.Duration(number) * unit, nil
}

// statementTimeoutValue returns the value of a SET [SESSION] statement_timeout, with = or TO; ok is false for any other
// query.
func statementTimeoutValue(query string) (value string, ok bool) {
	query = strings.TrimRight(sqltext.SkipComments(query), "; \t\r\n")
	words := strings.Fields(strings.ReplaceAll(query, "=", " = "))
	if len(words) > 1 && strings.EqualFold(words[1], "SESSION") {
		words = append(words[:1], words[2:]...)
	}
	const wordsBeforeValue = 3 // SET, the name, and = or TO
	if len(words) <= wordsBeforeValue {
		return "", false
	}
	if !strings.EqualFold(words[0], "SET") || !strings.EqualFold(words[1], statementTimeoutName) {
		return "", false
	}
	if words[2] != "=" && !strings.EqualFold(words[2], "TO") {
		return "", false
	}
	return strings.Join(words[wordsBeforeValue:], " "), true
}
