package pgclient

import (
	"flaxrelay/internal/engine"
	"flaxrelay/internal/lifecycle"
	"flaxrelay/internal/pgproto"
)

// applicationName is the name under which the engine lists the sessions of this program.
const applicationName = "ringwood"

// HandleConnected sends the startup message.
func (c *connection) HandleConnected() {
	options := c.client.options
	var parameters []byte
	for _, text := range []string{
		"user", options.User,
		"database", options.Database,
		"application_name", applicationName,
	} {
		parameters = append(parameters, pgproto.CString(text)...)
	}
	c.Write(pgproto.AppendStartup(nil, pgproto.ProtocolVersion, append(parameters, 0)))
	c.client.Loop.Timers.Schedule(c.startupDeadline, c.checkStartup)
}

// checkStartup closes the connection if its startup is not complete at the deadline. An engine
// that hangs may accept connections and send nothing.
func (c *connection) checkStartup() {
	if c.State() == engine.StateStartup {
		c.Close(lifecycle.StatusConnectTimeout)
	}
}

// handleStartup handles one message of the startup.
func (c *connection) handleStartup(received message) error {
	switch received.kind {
	case pgproto.ServerAuthentication:
		reader := pgproto.Reader{Unread: received.body}
		if reader.Int32() != pgproto.AuthenticationOK {
			return errAuthentication
		}
	case pgproto.ServerBackendKeyData:
		c.cancelKey = append([]byte{}, received.body...)
	default:
		return &unexpectedMessageError{kind: received.kind, phase: phaseStartup}
	}
	return nil
}

// completeStartup opens the connection and writes the query that waited for the startup.
func (c *connection) completeStartup() {
	c.MarkOpen()
	c.MarkUsed()
	c.WatchIdle()
	if c.exchange.idle() {
		c.CloseIfRetiringAndIdle()
	} else {
		c.writeQuery()
	}
}
