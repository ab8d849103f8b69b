package pgclient

import (
	"fmt"

	"flaxrelay/internal/engine"
	"flaxrelay/internal/pgproto"
)

// The kinds of the messages that this client sends.
const (
	kindParse    = 'P'
	kindBind     = 'B'
	kindDescribe = 'D'
	kindExecute  = 'E'
	kindSync     = 'S'
)

// The kinds of the messages that this client reads.
const (
	kindAuthentication       = 'R'
	kindBackendKeyData       = 'K'
	kindParameterStatus      = 'S'
	kindNoticeResponse       = 'N'
	kindNotificationResponse = 'A'
	kindReadyForQuery        = 'Z'
	kindErrorResponse        = 'E'
	kindParseComplete        = '1'
	kindBindComplete         = '2'
	kindCloseComplete        = '3'
	kindParameterDescription = 't'
	kindRowDescription       = 'T'
	kindNoData               = 'n'
	kindDataRow              = 'D'
	kindCommandComplete      = 'C'
	kindEmptyQueryResponse   = 'I'
)

// HandleMessage handles the first message of in.
func (c *connection) HandleMessage(in []byte) (length int, err error) {
	kind, body, length, err := pgproto.ParseMessage(in, maxMessageBytes)
	if err != nil {
		return 0, fmt.Errorf("read a message: %w", err)
	}
	if length == 0 {
		return 0, nil
	}
	return length, c.handle(kind, body, in[:length])
}

// handle handles one message, which is given with and without its kind and length.
func (c *connection) handle(kind byte, body, message []byte) error {
	switch kind {
	case kindNoticeResponse, kindParameterStatus, kindNotificationResponse:
		return nil // of the engine's session, which no client owns
	case kindErrorResponse:
		return c.handleError(body)
	case kindReadyForQuery:
		return c.handleReady(body)
	}
	switch {
	case c.State() == engine.StateStartup:
		return c.handleStartup(kind, body)
	case c.exchange.idle():
		return &unexpectedMessageError{kind: kind, phase: phaseIdle}
	}
	return c.handleResponse(kind, body, message)
}

// transactionIdle is the body of a ReadyForQuery outside a transaction.
const transactionIdle = "I"

// handleReady handles a ReadyForQuery: the startup or a response is complete.
func (c *connection) handleReady(body []byte) error {
	switch {
	case string(body) != transactionIdle:
		return errOpenTransaction
	case c.State() == engine.StateStartup:
		c.completeStartup()
		return nil
	case c.exchange.idle():
		return &unexpectedMessageError{kind: kindReadyForQuery, phase: phaseIdle}
	}
	return c.completeResponse()
}
