package engine

import (
	"log/slog"

	"flaxrelay/internal/eventloop"
	"flaxrelay/internal/lifecycle"
	"flaxrelay/internal/logevent"
	"flaxrelay/internal/metrics"
)

// Dial starts to connect to the engine. protocol is the value that embeds c.
func (c *Connection[P]) Dial(client *Client[P], engine *Engine[P], protocol P) {
	c.client = client
	c.engine = engine
	c.protocol = protocol
	engine.Connections = append(engine.Connections, protocol)
	client.accepting[c] = struct{}{}
	client.Counters.Increment(metrics.EngineConnectionsDialed)
	client.Loop.Dial(engine.Address, client.options.ConnectTimeout, client.options.ReadBufferBytes, c, c.dialed)
}

// dialed handles the result of the dial.
func (c *Connection[P]) dialed(socket *eventloop.Conn, err error) {
	if err != nil {
		c.failDial(err)
		return
	}
	c.socket = socket
	c.state = StateStartup
	c.protocol.HandleConnected()
}

// failDial logs the error of a failed dial, and moves the connection to StateClosed.
func (c *Connection[P]) failDial(err error) {
	status := dialStatus(err)
	if c.client.options.LogDialErrors && status != lifecycle.StatusConnectionRefused {
		logevent.EngineConnectFailed.Log(c.client.Log, slog.String("engine", c.engine.ID), slog.Any("error", err))
	}
	c.end(status)
}

// dialStatus returns the status of the attempts that waited for a failed dial.
func dialStatus(err error) lifecycle.AttemptStatus {
	switch {
	case eventloop.IsConnectionRefused(err):
		return lifecycle.StatusConnectionRefused
	case eventloop.IsDescriptorExhausted(err):
		return lifecycle.StatusNoDescriptor
	case eventloop.IsLocalFailure(err):
		return lifecycle.StatusLocalFailure
	default:
		return lifecycle.StatusConnectTimeout
	}
}
