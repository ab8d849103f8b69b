package engine

import (
	"time"

	"flaxrelay/internal/eventloop"
	"flaxrelay/internal/lifecycle"
	"flaxrelay/internal/timerqueue"
)

// Protocol is what a Connection calls: the protocol's own part of the connection.
type Protocol interface {
	Pooled
	// HandleConnected is called once the dial has succeeded.
	HandleConnected()
	// HandleMessage reads the first message of in and returns its length, or 0 while
	// the message is incomplete. After an error nothing more is read.
	HandleMessage(in []byte) (length int, err error)
	// InFlight returns the number of attempts on the connection.
	InFlight() int
	// ResetStatus returns how the attempts end where the engine has closed the
	// connection under them.
	ResetStatus() lifecycle.AttemptStatus
	// HandleClosed is called once the connection has ended, and ends its attempts.
	HandleClosed(status lifecycle.AttemptStatus)
}

// State is the state of a connection between its dial and its end.
type State uint8

// The states of a connection, in their order.
const (
	StateDialing State = iota // the dial is under way
	StateStartup              // the socket is connected, and the protocol's startup is under way
	StateOpen                 // requests can be written
	StateClosing              // closed from this side; the event loop has not confirmed it yet
	StateClosed               // the socket is closed
)

// Connection is one connection to an engine, from the start of its dial to its end.
// A protocol's own type embeds it and calls Dial. It belongs to the event loop's
// goroutine.
type Connection[P Protocol] struct {
	client   *Client[P]
	engine   *Engine[P]
	protocol P
	state    State
	// draining says that no new attempt is accepted. It is independent of the state: a
	// connection that is retired during its dial still serves the attempts that wait for it.
	draining bool
	socket   *eventloop.Conn // nil while dialing and once closed
	lastUsed time.Duration
	// closeStatus says why this side closes the connection; StatusUnknown: it does not.
	closeStatus lifecycle.AttemptStatus
	stallTimer  *timerqueue.Timer
	// partialSince is when the first bytes of an incomplete message were seen; 0: none are.
	partialSince time.Duration
}

// Engine returns the engine that the connection leads to.
func (c *Connection[P]) Engine() *Engine[P] { return c.engine }

// State returns the connection's state.
func (c *Connection[P]) State() State { return c.state }

// Connected reports whether the connection has a socket.
func (c *Connection[P]) Connected() bool {
	return c.state != StateDialing && c.state != StateClosed
}

// Draining reports whether the connection accepts no new attempts.
func (c *Connection[P]) Draining() bool { return c.draining }

// Write sends b and reports whether the connection still took it. The connection must be
// connected.
func (c *Connection[P]) Write(b []byte) bool { return c.socket.Write(b) }

// MarkOpen records that the startup is complete.
func (c *Connection[P]) MarkOpen() { c.state = StateOpen }

// MarkUsed records that an attempt has begun or ended.
func (c *Connection[P]) MarkUsed() { c.lastUsed = c.client.Dispatcher.Now() }

// StopAccepting marks the connection as draining: it accepts no new attempts.
func (c *Connection[P]) StopAccepting() {
	c.draining = true
	delete(c.client.accepting, c)
}

// Drained reports whether the connection is draining and may be closed: it is
// connected and has no attempt in flight.
func (c *Connection[P]) Drained() bool {
	return c.draining && c.Connected() && c.protocol.InFlight() == 0
}

// Close closes the connection after what was written has been sent. If it is being
// closed already, the earlier status stays.
func (c *Connection[P]) Close(status lifecycle.AttemptStatus) {
	c.beginClose(status)
	c.socket.Close()
}

// beginClose moves the connection to StateClosing.
func (c *Connection[P]) beginClose(status lifecycle.AttemptStatus) {
	c.StopAccepting()
	if c.state == StateClosing {
		return
	}
	c.state, c.closeStatus = StateClosing, status
}

// OnClosed handles the end of the socket, whichever side closed it. The event loop calls it.
func (c *Connection[P]) OnClosed(*eventloop.Conn, error) {
	status := c.closeStatus
	switch {
	case status != lifecycle.StatusUnknown:
	case c.protocol.InFlight() == 0:
		status = lifecycle.StatusIdleClosed
	default:
		status = c.protocol.ResetStatus()
	}
	c.ended(status)
}

// ended removes the connection from the pool and ends its attempts.
func (c *Connection[P]) ended(status lifecycle.AttemptStatus) {
	c.StopAccepting()
	c.state, c.socket = StateClosed, nil
	c.stallTimer.Stop()
	c.client.Counters.IncrementByName("engine-connections.closed." + status.String())
	c.engine.remove(c.protocol)
	c.protocol.HandleClosed(status)
}
