package pgserver

import (
	"strconv"
	"strings"

	"flaxrelay/internal/metrics"
	"flaxrelay/internal/pgproto"
	"flaxrelay/internal/sqltext"
	"flaxrelay/internal/stmtstats"
	"flaxrelay/policy"
)

// maxParameters is the largest number that a parameter may have, as in PostgreSQL.
const maxParameters = 65535

// Rule assigns a class to the statements that start with certain words, and names the parameter that contains their
// idempotency key.
type Rule struct {
	Prefix       string // the words that the statements start with, after comments; letter case is ignored
	Class        string
	KeyParameter int  // the number of the parameter that contains the idempotency key, counted from 1; 0: none
	ReadOnly     bool // the operator declares the statements read-only; ignored if their text shows that they write
}

// classification is the result of classify: the class of a statement, and the parameter that contains its idempotency
// key.
type classification struct {
	class        policy.Class
	keyParameter int  // the number of the parameter that contains the idempotency key, counted from 1; 0: none
	classByShape bool // no rule or comment names a class, so the statement shape may determine it
}

// classChoice is the class that a statement's leading comment, a rule or the default specifies.
type classChoice struct {
	class        string
	keyParameter int
	readOnly     bool // the rule declares the statement read-only
	explicit     bool // a comment or a rule names the class
}

// classify returns a statement's class. Its leading comment overrides the rules, and the rules override the default. A
// statement that may write never gets an idempotent class. If its class would be the idempotent default, it gets the
// class for writes instead, which permits one attempt. If a comment or a rule names an idempotent class for such a
// statement, classify returns an error. A statement whose text does not show its effect counts as one that may write,
// unless a rule declares it read-only.
func (s *Server) classify(query string, parsed *stmtstats.Statement) (classification, *pgproto.Error) {
	choice, failure := s.chooseClass(query)
	if failure != nil {
		return classification{}, failure
	}
	class, ok := s.dispatcher.Class(choice.class)
	if !ok {
		return classification{}, newError(codeUndefinedObject, "class %q is not known here", choice.class)
	}
	if class.Effect != policy.Idempotent {
		return classification{class: class, keyParameter: choice.keyParameter}, nil
	}
	verdict := s.effectOf(query, parsed)
	if verdict.Effect == sqltext.EffectReads || verdict.Effect == sqltext.EffectUnknown && choice.readOnly {
		return classification{class: class, keyParameter: choice.keyParameter, classByShape: !choice.explicit}, nil
	}
	s.counters.Increment(metrics.PostgresMayWrite)
	if choice.explicit {
		return classification{}, errIdempotentClass(choice.class, verdict)
	}
	class, ok = s.dispatcher.Class(s.options.WriteClass)
	if !ok || class.Effect != policy.NonIdempotent {
		return classification{}, newError(codeFeatureNotSupported,
			"the statement may write (%v), and this gateway has no class for writes", verdict)
	}
	return classification{class: class}, nil
}

// errIdempotentClass is the error for a statement that may write although a comment or a rule names an idempotent class
// for it.
func errIdempotentClass(class string, verdict sqltext.Verdict) *pgproto.Error {
	failure := newError(codeInvalidParameterValue,
		"class %s is safe to repeat, and the statement may write (%v)", class, verdict)
	failure.Hint = "Name no class, or one for writes or loads. " +
		"Functions that only read belong in the gateway's read_only_functions."
	return failure
}

// effectOf determines whether a statement may write stored data.
func (s *Server) effectOf(query string, parsed *stmtstats.Statement) sqltext.Verdict {
	if parsed != nil {
		return parsed.Effect()
	}
	return sqltext.EffectOf(query, s.options.ReadOnlyFunctions)
}

// chooseClass applies the first rule that matches, and then the leading comment.
func (s *Server) chooseClass(query string) (classChoice, *pgproto.Error) {
	choice := classChoice{class: s.options.DefaultClass}
	for _, rule := range s.options.Rules {
		if sqltext.HasTokenPrefix(query, rule.Prefix) {
			choice = classChoice{
				class:        rule.Class,
				keyParameter: rule.KeyParameter,
				readOnly:     rule.ReadOnly,
				explicit:     true,
			}
			break
		}
	}
	comment, ok := sqltext.LeadingComment(query)
	if !ok {
		return choice, nil
	}
	for _, word := range strings.FieldsFunc(comment, isDirectiveSeparator) {
		name, value, _ := strings.Cut(word, "=")
		switch name {
		case "class":
			choice.class = value
			choice.explicit = true
		case "key":
			parameter, err := strconv.Atoi(strings.TrimPrefix(value, "$"))
			if err != nil || parameter < 1 || parameter > maxParameters {
				return choice, newError(codeSyntaxError,
					"the comment's key=%s names no parameter such as $1", value)
			}
			choice.keyParameter = parameter
		}
	}
	return choice, nil
}

func isDirectiveSeparator(char rune) bool { return char == ' ' || char == ',' || char == ';' }

// idempotencyKey returns the idempotency key of an execution, or "" if the class does not need a key. The key is one of
// the bound values. If the class needs a key and the execution lacks it, idempotencyKey returns an error: such an
// execution is never forwarded, because engines could not drop a duplicate of it.
func (c classification) idempotencyKey(values [][]byte) (string, *pgproto.Error) {
	if c.class.Effect != policy.IdempotentByKey {
		return "", nil
	}
	name := c.class.Name
	parameter := c.keyParameter
	switch {
	case parameter == 0:
		return "", newError(codeInvalidParameterValue,
			"class %s needs a key: name its parameter, as in /* class=%s key=$1 */", name, name)
	case parameter > len(values):
		return "", newError(codeInvalidParameterValue,
			"the key of class %s is parameter $%d, and only %d are bound", name, parameter, len(values))
	case len(values[parameter-1]) == 0:
		return "", newError(codeNullValueNotAllowed,
			"the key of class %s, parameter $%d, is null or empty", name, parameter)
	}
	return string(values[parameter-1]), nil
}

// unsupportedCommands are the first words of statements that need a dedicated engine session. They are not supported
// because all clients share the sessions of the engines.
var unsupportedCommands = map[string]bool{
	"BEGIN": true, "START": true, "COMMIT": true, "END": true, "ROLLBACK": true, "ABORT": true, "SAVEPOINT": true,
	"RELEASE": true, "COPY": true, "PREPARE": true, "EXECUTE": true, "DEALLOCATE": true, "DECLARE": true,
	"FETCH": true, "MOVE": true, "CLOSE": true, "LISTEN": true, "UNLISTEN": true, "NOTIFY": true, "LOCK": true,
	"DISCARD": true, "RESET": true, "SET": true,
}

// supportedCommand returns the first word of a statement in upper case, or "" if the text contains no statement. It
// returns an error if the statement is not supported.
func supportedCommand(query string, parsed *stmtstats.Statement) (string, *pgproto.Error) {
	command, multiple := commandOf(query, parsed)
	switch {
	case multiple:
		return "", newError(codeFeatureNotSupported, "only one statement at a time is supported")
	case unsupportedCommands[command]:
		return "", newError(codeFeatureNotSupported,
			"%s is not supported: statements share their engines' sessions", command)
	}
	return command, nil
}

// commandOf returns the first word of a statement in upper case, or "" if the text contains no statement. It also
// reports whether the text contains multiple statements.
func commandOf(query string, parsed *stmtstats.Statement) (command string, multiple bool) {
	if parsed != nil {
		return strings.ToUpper(parsed.FirstWord()), parsed.MultipleStatements()
	}
	return sqltext.FirstWord(query)
}
