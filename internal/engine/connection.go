package engine

import (
	"time"

	"flaxrelay/internal/eventloop"
	"flaxrelay/internal/lifecycle"
	"flaxrelay/internal/metrics"
)

// Protocol is the part of a connection that depends on the protocol. Each protocol's package
// implements it with one type, which embeds a Connection. The Connection implements Retire, and
// calls the other methods on the event loop's goroutine.
type Protocol interface {
	pooled
	// HandleConnected is called when the dial has succeeded.
	HandleConnected()
	// HandleMessage handles the first message of in and returns its size, or 0 if the
	// message is incomplete. After an error the connection is closed and nothing more is read.
	HandleMessage(in []byte) (size int, err error)
	// InFlight returns the number of attempts on the connection.
	InFlight() int
	// ResetStatus returns the status of the attempts that were in flight when the engine
	// closed the connection.
	ResetStatus() lifecycle.AttemptStatus
	// HandleClosed is called when the connection is closed. It ends the attempts on the connection.
	HandleClosed(status lifecycle.AttemptStatus)
}

// State is the phase of a connection between its dial and its close.
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

// The states of a connection, in the order in which it passes through them.
const (
	StateDialing State = iota // the dial is in progress; there is no socket
	StateStartup              // the socket is connected; the protocol's startup is in progress
	StateOpen                 // requests can be written
	StateClosing              // closed from this side; the event loop has not called OnClosed yet
	StateClosed               // the socket is closed, or the dial has failed
)

// Connection is one connection to an engine, from the start of its dial to its close. It owns the
// socket, and decides when the socket is closed and with which status the attempts end. A
// protocol's type embeds it and calls Dial. It may be used only on the event loop's goroutine.
type Connection[P Protocol] struct {
	client   *Client[P]
	engine   *Engine[P]
	protocol P
	state    State
	// retiring means that the connection accepts no new attempts, and closes once no attempt is in
	// flight. Retire, StopAccepting, Close, a protocol error and the closing of the socket set it,
	// in any state. It is never reset. A connection that is retired during its dial or startup
	// still serves the attempts that wait for it.
	retiring bool
	socket   *eventloop.Conn // nil in StateDialing and StateClosed
	// closeStatus is the reason why this side has closed the connection. It is valid in StateClosing.
	closeStatus lifecycle.AttemptStatus
	// lastUsed is when MarkUsed was last called, by the dispatcher's clock. The idle timeout counts
	// from this time. While an attempt is in flight, each checkIdle calls MarkUsed.
	lastUsed     time.Duration
	messageTimer messageTimer
}

// Engine returns the engine to which the connection was dialed.
func (c *Connection[P]) Engine() *Engine[P] { return c.engine }

// State returns the connection's state.
func (c *Connection[P]) State() State { return c.state }

// Connected reports whether the connection has a socket.
func (c *Connection[P]) Connected() bool {
	return c.state != StateDialing && c.state != StateClosed
}

// Retiring reports whether the connection accepts no new attempts.
func (c *Connection[P]) Retiring() bool { return c.retiring }

// Write sends b and reports whether the connection accepted it. If Write returns false, the engine
// does not receive all of b and does not run the request. The connection must be connected.
func (c *Connection[P]) Write(b []byte) bool { return c.socket.Write(b) }

// PendingWrite returns the number of written bytes that the socket has not accepted yet. The connection must be
// connected.
func (c *Connection[P]) PendingWrite() int { return c.socket.PendingWrite() }

// OnFlushed schedules f to run once the socket has accepted all written bytes. It replaces the function of an earlier
// call that has not run yet. The connection must be connected when OnFlushed is called, but may be closed when f runs.
func (c *Connection[P]) OnFlushed(f func()) { c.socket.OnFlushed(f) }

// Abort closes the connection at once and drops the written bytes that the socket has not accepted. The attempts then
// end with the status. The connection must be connected.
func (c *Connection[P]) Abort(status lifecycle.AttemptStatus) {
	c.beginClose(status)
	c.socket.Abort()
}

// HasUnreadBytes reads what the socket holds, and reports whether bytes of the engine wait to be
// handled. The connection must be connected. It must not be called while the connection's
// HandleMessage runs.
func (c *Connection[P]) HasUnreadBytes() bool {
	return c.socket.ReadNow() || c.socket.UnreadBytes() > 0
}

// MarkOpen records that the startup is complete.
func (c *Connection[P]) MarkOpen() { c.state = StateOpen }

// MarkUsed sets the time of the latest use to now. The protocol calls it at least when an attempt
// ends, and once before WatchIdle.
func (c *Connection[P]) MarkUsed() { c.lastUsed = c.client.Dispatcher.Now() }

// StopAccepting prevents new attempts on the connection.
func (c *Connection[P]) StopAccepting() {
	c.retiring = true
	delete(c.client.accepting, c)
}

// Retire prevents new attempts on the connection, and closes it once no attempt is in flight.
func (c *Connection[P]) Retire() {
	c.StopAccepting()
	c.CloseIfRetiringAndIdle()
}

// CloseIfRetiringAndIdle closes the connection if it accepts no new attempts and has no attempt in
// flight. It does nothing during the dial; the protocol calls it again when the connection is open.
func (c *Connection[P]) CloseIfRetiringAndIdle() {
	if c.Retiring() && c.Connected() && c.protocol.InFlight() == 0 {
		c.Close(lifecycle.StatusIdleClosed)
	}
}

// Close closes the connection after everything that was written has been sent. The attempts
// then end with the status of the first Close. The connection must be connected.
func (c *Connection[P]) Close(status lifecycle.AttemptStatus) {
	c.beginClose(status)
	c.socket.Close()
}

// beginClose moves the connection to StateClosing, unless it is there already.
func (c *Connection[P]) beginClose(status lifecycle.AttemptStatus) {
	c.StopAccepting()
	if c.state == StateClosing {
		return
	}
	c.state = StateClosing
	c.closeStatus = status
}

// OnClosed handles the close of the socket by either side. The event loop calls it.
func (c *Connection[P]) OnClosed(*eventloop.Conn, error) { c.end(c.endStatus()) }

// endStatus returns the status with which the attempts end when the socket has been closed.
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

// end moves the connection to StateClosed, removes it from its engine and ends its attempts.
func (c *Connection[P]) end(status lifecycle.AttemptStatus) {
	c.StopAccepting()
	c.state = StateClosed
	c.socket = nil
	c.messageTimer.stop()
	c.client.Counters.Increment(metrics.EngineConnectionsClosed.With(status.String()))
	c.engine.remove(c.protocol)
	c.protocol.HandleClosed(status)
}
