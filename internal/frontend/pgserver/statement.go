package pgserver

import (
	"bytes"

	"flaxrelay/internal/pgproto"
	"flaxrelay/internal/stmtstats"
)

// statement is a prepared statement with its classification.
type statement struct {
	classification
	query          string
	parameterTypes []byte               // as in Parse: their count and object IDs
	empty          bool                 // the query contains only white space and comments
	parsed         *stmtstats.Statement // nil without an estimator
	description    *pgproto.Result      // nil until an engine has described the statement
	references     int                  // the name of the statement and its open portals
}

// size returns how many bytes of the session's memory the statement keeps.
func (s *statement) size() int { return len(s.query) + len(s.parameterTypes) + statementOverhead }

// prepare parses and classifies a statement. Nothing is sent to an engine.
func (s *Server) prepare(query string, parameterTypes []byte) (*statement, *pgproto.Error) {
	var parsed *stmtstats.Statement
	if estimator := s.options.Estimator; estimator != nil {
		parsed = estimator.Parse(query, s.options.ReadOnlyFunctions)
	}
	command, failure := supportedCommand(query, parsed)
	if failure != nil {
		return nil, failure
	}
	prepared := &statement{query: query, parameterTypes: bytes.Clone(parameterTypes), empty: command == ""}
	if prepared.empty {
		return prepared, nil
	}
	classified, failure := s.classify(query, parsed)
	if failure != nil {
		return nil, failure
	}
	prepared.classification = classified
	prepared.parsed = parsed
	return prepared, nil
}

// checkValueCount returns an error if the number of bound values differs from the number of parameters that an engine
// has described. It returns nil if no engine has described the statement.
func (s *statement) checkValueCount(count int) *pgproto.Error {
	if s.description == nil || len(s.description.ParameterDescription) < countSize {
		return nil
	}
	reader := pgproto.Reader{Unread: s.description.ParameterDescription}
	if required := reader.Count(); required != count {
		return newError(codeProtocolViolation,
			"bind message supplies %d parameters, but the prepared statement requires %d", count, required)
	}
	return nil
}

// parameterOIDs returns the types of the parameters: those that an engine has described, or else those that the client
// has specified.
func (s *statement) parameterOIDs() []byte {
	if s.description != nil && len(s.description.ParameterDescription) > countSize {
		return s.description.ParameterDescription[countSize:]
	}
	if len(s.parameterTypes) > countSize {
		return s.parameterTypes[countSize:]
	}
	return nil
}
