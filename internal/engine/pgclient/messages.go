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

// What a Describe describes.
const (
	describeStatement = "S"
	describePortal    = "P"
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

// message is one message of an engine. Its bytes are within the read buffer.
type message struct {
	kind byte
	body []byte
	raw  []byte // the complete message, with its kind and length
}

// HandleMessage handles the first message of in.
func (c *connection) HandleMessage(in []byte) (length int, err error) {
	kind, body, length, err := pgproto.ParseMessage(in, maxMessageBytes)
	if err != nil {
		return 0, fmt.Errorf("read a message: %w", err)
	}
	if length == 0 {
		return 0, nil
	}
	return length, c.handle(message{kind: kind, body: body, raw: in[:length]})
}

// handle handles one message.
func (c *connection) handle(received message) error {
	switch received.kind {
	case kindNoticeResponse, kindParameterStatus, kindNotificationResponse:
		return nil // these are about the session with the engine, and clients don't get them
	case kindErrorResponse:
		return c.handleError(received.body)
	case kindReadyForQuery:
		return c.handleReady(received.body)
	}
	switch {
	case c.State() == engine.StateStartup:
		return c.handleStartup(received)
	case c.exchange.idle():
		return &unexpectedMessageError{kind: received.kind, phase: phaseIdle}
	}
	return c.handleResponse(received)
}

// transactionIdle is the body of a ReadyForQuery outside a transaction.
const transactionIdle = "I"

// handleReady handles a ReadyForQuery, which ends the startup or a response.
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
