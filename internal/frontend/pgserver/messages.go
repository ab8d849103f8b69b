package pgserver

import (
	"errors"
	"slices"

	"flaxrelay/internal/metrics"
	"flaxrelay/internal/pgproto"
)

// errUnknownMessage is returned for input whose first byte is not the kind of any
// message of a client.
var errUnknownMessage = errors.New("a message of a kind that no client sends")

// clientMessages are the kinds of messages that a client sends after its startup.
var clientMessages = []byte{
	pgproto.ClientParse, pgproto.ClientBind, pgproto.ClientDescribe, pgproto.ClientExecute, pgproto.ClientClose,
	pgproto.ClientFlush, pgproto.ClientSync, pgproto.ClientQuery, pgproto.ClientTerminate, pgproto.ClientFunctionCall,
	pgproto.ClientCopyData, pgproto.ClientCopyDone, pgproto.ClientCopyFail, pgproto.ClientPassword,
}

// readTyped serves a message of the session and returns its size, or 0 while it is
// incomplete or waits for the description of a portal.
func (c *connection) readTyped(input []byte) (size int, err error) {
	if len(input) > 0 && !slices.Contains(clientMessages, input[0]) {
		return 0, errUnknownMessage
	}
	kind, body, size, err := pgproto.ParseMessage(input, maxMessage)
	if err != nil || size == 0 {
		return 0, err
	}
	// A pending description is sent before the message is served. If it needs a
	// request, the message is read again after the response.
	exec, failure := c.extended.resolveDescribe(kind, body)
	c.finish(extendedProtocol, exec, failure)
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

// serve passes a message to its phase.
func (c *connection) serve(kind byte, body []byte) {
	switch kind {
	case pgproto.ClientQuery:
		exec, failure := c.simple.serve(body)
		c.finish(simpleProtocol, exec, failure)
	case pgproto.ClientFunctionCall:
		c.finish(extendedProtocol, nil, newError(codeFeatureNotSupported, "function calls are not supported"))
	case pgproto.ClientPassword:
		c.finish(extendedProtocol, nil, newError(codeProtocolViolation, "no password was asked for"))
	default:
		exec, failure := c.extended.serve(kind, body)
		c.finish(extendedProtocol, exec, failure)
	}
}

// finish ends the service of a message with what its phase returned. It forwards an
// execution and sends an error. If the phase returned neither, it has written its
// response.
func (c *connection) finish(protocol queryProtocol, exec *execution, failure *pgproto.Error) {
	if exec != nil {
		c.forward(exec)
		return
	}
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
