package pgclient

import (
	"fmt"

	"flaxrelay/internal/engine"
	"flaxrelay/internal/pgproto"
)

// message is one message of an engine. Its bytes are within the read buffer.
type message struct {
	kind byte
	body []byte
	raw  []byte // the complete message, with its kind and length
}

// HandleMessage handles the first message of in.
func (c *connection) HandleMessage(in []byte) (size int, err error) {
	kind, body, size, err := pgproto.ParseMessage(in, maxMessageBytes)
	if err != nil {
		return 0, fmt.Errorf("read a message: %w", err)
	}
	if size == 0 {
		return 0, nil
	}
	c.handling = true
	c.unhandledBytes = len(in) - size
	err = c.handle(message{kind: kind, body: body, raw: in[:size]})
	c.handling = false
	return size, err
}

// handle handles one message.
func (c *connection) handle(received message) error {
	switch received.kind {
	case pgproto.ServerNoticeResponse, pgproto.ServerParameterStatus, pgproto.ServerNotificationResponse:
		return nil // these concern the session with the engine and are not forwarded to clients
	case pgproto.ServerErrorResponse:
		return c.handleError(received.body)
	case pgproto.ServerReadyForQuery:
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

// handleReady handles a ReadyForQuery, which ends the startup or a response.
func (c *connection) handleReady(body []byte) error {
	switch {
	case len(body) != 1 || body[0] != pgproto.TransactionIdle:
		return errOpenTransaction
	case c.State() == engine.StateStartup:
		c.completeStartup()
		return nil
	case c.exchange.idle():
		return &unexpectedMessageError{kind: pgproto.ServerReadyForQuery, phase: phaseIdle}
	}
	return c.completeResponse()
}
