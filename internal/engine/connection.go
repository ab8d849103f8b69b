package engine

import (
	"time"

	"flaxrelay/internal/eventloop"
	"flaxrelay/internal/lifecycle"
	"flaxrelay/internal/metrics"
)

// Protocol is the protocol's own part of a connection, as Connection calls it. A type that
// embeds a Connection implements Retire with it.
type Protocol interface {
	Pooled
	// HandleConnected is called once the dial has succeeded.
	HandleConnected()
	// HandleMessage reads the first message of in and returns its length, or 0 while
	// the message is incomplete. An error closes the connection: nothing more is read.
	HandleMessage(in []byte) (length int, err error)
	// InFlight returns the number of attempts on the connection.
	InFlight() int
	// ResetStatus returns how the attempts end where the engine has closed the
	// connection while they were in flight.
	ResetStatus() lifecycle.AttemptStatus
	// HandleClosed is called once the connection has ended, and ends its attempts.
	HandleClosed(status lifecycle.AttemptStatus)
}

// State is how far a connection has got between its dial and its end.
//
//	event                           from                         to
//	Dial                                                         StateDialing
//	the dial succeeds               StateDialing                 StateStartup
//	the dial fails                  StateDialing                 StateClosed
//	MarkOpen                        StateStartup                 StateOpen
//	Close, or a protocol error      StateStartup, StateOpen      StateClosing
//	the engine closes the socket    StateStartup, StateOpen      StateClosed
//	the close is complete           StateClosing                 StateClosed
//
// In StateOpen a connection is idle or busy; Protocol.InFlight distinguishes the two.
type State uint8

// The states of a connection, in their order.
const (
	StateDialing State = iota // the dial is under way; there is no socket
	StateStartup              // the socket is connected, and the protocol's startup is under way
	StateOpen                 // requests can be written
	StateClosing              // closed from this side; the event loop has not confirmed it yet
	StateClosed               // the socket is closed, or the dial has failed
)

// admission says whether a connection accepts new attempts. It changes once, and
// independently of State until the connection closes: a connection that is retired while it
// is dialed or starts up still serves the attempts that wait for it.
//
//	event                                                       from         to
//	Dial                                                                     accepting
//	Retire, StopAccepting, Close, a protocol error, or its end  accepting    retiring
type admission uint8

const (
	accepting admission = iota // accepts new attempts, as far as the protocol permits
	retiring                   // accepts none, and closes once none is in flight
)

// Connection is one connection to an engine, from the start of its dial to its end. A
// protocol's own type embeds it and calls Dial. It belongs to the event loop's goroutine.
type Connection[P Protocol] struct {
	client    *Client[P]
	engine    *Engine[P]
	protocol  P
	state     State
	admission admission
	socket    *eventloop.Conn // nil in StateDialing and StateClosed
	// closeStatus is the reason of the close from this side, in StateClosing.
	closeStatus lifecycle.AttemptStatus
	// lastUsed is when an attempt last began or ended, by the dispatcher's clock.
	lastUsed     time.Duration
	messageTimer messageTimer
}

// Engine returns the engine that the connection leads to.
func (c *Connection[P]) Engine() *Engine[P] { return c.engine }

// State returns the connection's state.
func (c *Connection[P]) State() State { return c.state }

// Connected reports whether the connection has a socket.
func (c *Connection[P]) Connected() bool {
	return c.state != StateDialing && c.state != StateClosed
}

// Retiring reports whether the connection accepts no new attempts.
func (c *Connection[P]) Retiring() bool { return c.admission == retiring }

// Write sends b and reports whether the connection accepted it. If not, b was not sent
// completely, so the engine does not run what b requests. The connection must be connected.
func (c *Connection[P]) Write(b []byte) bool { return c.socket.Write(b) }

// MarkOpen records that the startup is complete.
func (c *Connection[P]) MarkOpen() { c.state = StateOpen }

// MarkUsed records that an attempt has begun or ended.
func (c *Connection[P]) MarkUsed() { c.lastUsed = c.client.Dispatcher.Now() }

// StopAccepting makes the connection accept no new attempts.
func (c *Connection[P]) StopAccepting() {
	c.admission = retiring
	delete(c.client.accepting, c)
}

// Retire makes the connection accept no new attempts and close once none is in flight.
func (c *Connection[P]) Retire() {
	c.StopAccepting()
	c.CloseIfDrained()
}

// CloseIfDrained closes a retiring connection that has no attempt in flight. While it is
// dialed there is nothing to close yet; the protocol calls this again when it is connected.
func (c *Connection[P]) CloseIfDrained() {
	if c.Retiring() && c.Connected() && c.protocol.InFlight() == 0 {
		c.Close(lifecycle.StatusIdleClosed)
	}
}

// Close closes the connection after what was written has been sent. If it is being
// closed already, the earlier status stays. The connection must be connected.
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
	c.state = StateClosing
	c.closeStatus = status
}

// OnClosed handles the end of the socket, whichever side closed it. The event loop calls it.
func (c *Connection[P]) OnClosed(*eventloop.Conn, error) { c.end(c.endStatus()) }

// endStatus returns why the socket has been closed.
func (c *Connection[P]) endStatus() lifecycle.AttemptStatus {
	switch {
	case c.state == StateClosing:
		return c.closeStatus
	case c.protocol.InFlight() == 0:
		return lifecycle.StatusIdleClosed
	default:
		return c.protocol.ResetStatus()
	}
}

// end removes the connection from the pool and ends its attempts.
func (c *Connection[P]) end(status lifecycle.AttemptStatus) {
	c.StopAccepting()
	c.state = StateClosed
	c.socket = nil
	c.messageTimer.stop()
	c.client.Counters.Increment(metrics.EngineConnectionsClosed.With(status.String()))
	c.engine.remove(c.protocol)
	c.protocol.HandleClosed(status)
}
