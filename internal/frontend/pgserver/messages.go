package pgserver

import (
	"errors"
	"slices"

	"flaxrelay/internal/metrics"
	"flaxrelay/internal/pgproto"
)

// errUnknownMessage is returned for input whose first byte is not a kind of client message.
var errUnknownMessage = errors.New("a message of a kind that no client sends")

// clientMessages are the kinds of messages that a client sends after its startup.
var clientMessages = []byte{
	pgproto.ClientParse, pgproto.ClientBind, pgproto.ClientDescribe, pgproto.ClientExecute, pgproto.ClientClose,
	pgproto.ClientFlush, pgproto.ClientSync, pgproto.ClientQuery, pgproto.ClientTerminate, pgproto.ClientFunctionCall,
	pgproto.ClientCopyData, pgproto.ClientCopyDone, pgproto.ClientCopyFail, pgproto.ClientPassword,
}

// serveSessionMessage serves a message after the startup and returns its size, or 0 while it is incomplete or waits for
// the description of a portal.
func (c *connection) serveSessionMessage(input []byte) (size int, err error) {
	if len(input) > 0 && !slices.Contains(clientMessages, input[0]) {
		return 0, errUnknownMessage
	}
	kind, body, size, err := pgproto.ParseMessage(input, maxMessage)
	if err != nil || size == 0 {
		return 0, err
	}
	// A pending description is sent before the message is served. If an engine has to describe the statement first, the
	// message stays in the input, and OnData is called for it again after the engine's response.
	exec, failure := c.extended.resolveDescribe(kind, body)
	c.forwardOrFinish(extendedProtocol, exec, failure)
	if c.state == stateInFlight {
		return 0, nil
	}
	switch {
	case kind == pgproto.ClientTerminate:
		c.close()
	case kind == pgproto.ClientSync:
		c.state = stateReady
		c.extended.sync()
		c.sendReady()
	case c.state != stateSkipping:
		c.serve(kind, body)
	}
	return size, nil
}

// serve passes a message to its handler.
func (c *connection) serve(kind byte, body []byte) {
	switch kind {
	case pgproto.ClientQuery:
		exec, failure := c.simple.serve(body)
		c.forwardOrFinish(simpleProtocol, exec, failure)
	case pgproto.ClientFunctionCall:
		c.finish(extendedProtocol, newError(codeFeatureNotSupported, "function calls are not supported"))
	case pgproto.ClientPassword:
		c.finish(extendedProtocol, newError(codeProtocolViolation, "no password was asked for"))
	default:
		exec, failure := c.extended.serve(kind, body)
		c.forwardOrFinish(extendedProtocol, exec, failure)
	}
}

// forwardOrFinish forwards the execution that a handler has returned for a message. If there is no execution, it
// finishes the message.
func (c *connection) forwardOrFinish(protocol queryProtocol, exec *execution, failure *pgproto.Error) {
	if exec != nil {
		c.forward(exec)
		return
	}
	c.finish(protocol, failure)
}

// finish ends the response to a message. If there is no error, the handler of the message has already written the
// response.
func (c *connection) finish(protocol queryProtocol, failure *pgproto.Error) {
	if failure != nil {
		c.server.counters.Increment(metrics.PostgresErrors.With(failure.Code))
		c.output.errorResponse(failure)
	}
	switch {
	case protocol == simpleProtocol:
		c.sendReady()
	case failure != nil:
		c.state = stateSkipping
	}
}
