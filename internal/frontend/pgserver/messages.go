package pgserver

import (
	"errors"
	"slices"

	"flaxrelay/internal/pgproto"
)

// errUnknownMessage is an input whose first byte names no message of a client.
var errUnknownMessage = errors.New("a message of a kind that no client sends")

// clientMessages are the kinds of messages that a client sends after its startup.
var clientMessages = []byte{
	pgproto.ClientParse, pgproto.ClientBind, pgproto.ClientDescribe, pgproto.ClientExecute, pgproto.ClientClose,
	pgproto.ClientFlush, pgproto.ClientSync, pgproto.ClientQuery, pgproto.ClientTerminate, pgproto.ClientFunctionCall,
	pgproto.ClientCopyData, pgproto.ClientCopyDone, pgproto.ClientCopyFail, pgproto.ClientPassword,
}

// readTyped serves the first message of the input and returns its size, or 0 while it is
// incomplete or waits for the description of a portal.
func (c *connection) readTyped(input []byte) (size int, err error) {
	if len(input) > 0 && !slices.Contains(clientMessages, input[0]) {
		return 0, errUnknownMessage
	}
	kind, body, size, err := pgproto.ParseMessage(input, maxMessage)
	if err != nil || size == 0 {
		return 0, err
	}
	if c.deferredDescribe != nil {
		c.describeDeferred(kind, body)
		if c.state == stateInFlight {
			return 0, nil // the message is read again after the description
		}
	}
	switch {
	case kind == pgproto.ClientTerminate:
		c.closeNow()
	case kind == pgproto.ClientSync:
		c.state = stateReady
		c.dropPortals() // a Sync ends the batch's implicit transaction, and with it the portals
		c.sendReady()
	case c.state == stateSkipping:
	default:
		if e := c.serve(kind, body); e != nil {
			c.sendError(e)
		}
	}
	return size, nil
}

// serve serves one message.
func (c *connection) serve(kind byte, body []byte) *pgproto.Error {
	switch kind {
	case pgproto.ClientParse:
		return c.parse(body)
	case pgproto.ClientBind:
		return c.bind(body)
	case pgproto.ClientDescribe:
		return c.describe(body)
	case pgproto.ClientExecute:
		return c.execute(body)
	case pgproto.ClientClose:
		return c.closeNamed(body)
	case pgproto.ClientQuery:
		return c.query(body)
	case pgproto.ClientFunctionCall:
		return newError(codeFeatureNotSupported, "function calls are not supported")
	case pgproto.ClientPassword:
		return newError(codeProtocolViolation, "no password was asked for")
	}
	// Flush needs nothing, as all output is written anyway. Copy data follows a COPY that
	// was refused.
	return nil
}
