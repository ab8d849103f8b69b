// Package pgserver serves clients that speak the PostgreSQL wire protocol, with simple and extended queries. Each
// execution at an engine is one request to the dispatcher and has one final response: a completion or one
// ErrorResponse.
//
// New returns a Server, and Server.Listen accepts clients. A graceful shutdown calls CloseListener and Drain, and
// Finish when the final responses are due. The process may exit once Idle reports true.
//
// A Server accepts connections, assigns a class to each statement (classify) and builds the request of each execution
// (newRequest). Each connection is a state machine, whose diagram is in the comment of connectionState. It passes each
// message to its handler: startupPhase, simpleQuery, or extendedQuery with its prepared statements and its portalSet.
package pgserver

import (
	"fmt"
	"time"

	"flaxrelay/internal/eventloop"
	"flaxrelay/internal/frontend/clientconn"
	"flaxrelay/internal/lifecycle"
	"flaxrelay/internal/memorybudget"
	"flaxrelay/internal/metrics"
	"flaxrelay/internal/sqltext"
	"flaxrelay/internal/stmtstats"
)

const (
	// startupTimeout is how long a connection may take until its startup is complete.
	startupTimeout = 2 * time.Second
	// spareClients is how many clients may connect beyond the limit, to cancel a request or to receive the error that
	// there are too many clients.
	spareClients = 16
	// defaultMaxBufferedBytes is the default of Options.MaxBufferedBytes.
	defaultMaxBufferedBytes = 32 << 20
	// defaultMaxStatementBytes is the default of Options.MaxStatementBytes.
	defaultMaxStatementBytes = 16 << 20
)

// Options are the settings of a Server from the deploy file.
type Options struct {
	DefaultClass      string             // class of statements for which neither a comment nor a rule names a class
	WriteClass        string             // the default class of statements that may write; "": they are rejected
	ReadOnlyFunctions sqltext.Functions  // functions that the operators declare read-only
	Rules             []Rule             // the first rule that matches a statement applies
	Estimator         *stmtstats.Service // determines classes and estimates costs by statement shape; nil: off
	MaxClients        int                // limit of open connections; 0: no limit
	MaxBufferedBytes  int                // limit of bytes of rows in all open portals together; 0: default
	// MaxStatementBytes limits the bytes of prepared statements and bound values of all sessions together, besides an
	// allowance of each session; 0: default.
	MaxStatementBytes int
}

// Server accepts PostgreSQL clients. It owns their connections, decides the class of each statement, and builds the
// request for each execution. The server and its connections must be used from the goroutine of the event loop only.
type Server struct {
	clientconn.Listener
	loop       *eventloop.Loop
	dispatcher *lifecycle.Dispatcher
	options    Options
	counters   *metrics.Counters

	connections     map[uint32]*connection // by process ID
	lastProcessID   uint32
	rowBudget       memorybudget.Budget // bytes of rows in open portals
	statementBudget memorybudget.Budget // bytes of statements and bound values beyond the allowances of sessions
	draining        bool                // a graceful shutdown has begun
}

// New returns a server that passes its requests to the dispatcher.
func New(loop *eventloop.Loop, dispatcher *lifecycle.Dispatcher, options Options, counters *metrics.Counters) *Server {
	s := &Server{loop: loop, dispatcher: dispatcher, counters: counters, connections: map[uint32]*connection{}}
	s.SetOptions(options)
	return s
}

// Listen accepts clients at the address.
func (s *Server) Listen(address string) error {
	maxConnections := s.options.MaxClients
	if maxConnections > 0 {
		maxConnections += spareClients
	}
	listener, err := clientconn.Listen(s.loop, address, maxUnread, maxConnections, s.accept)
	if err != nil {
		return fmt.Errorf("listen for PostgreSQL clients: %w", err)
	}
	s.Listener = listener
	return nil
}

func (s *Server) accept(socket *eventloop.Conn) eventloop.Handler {
	s.counters.Increment(metrics.PostgresConnections)
	s.lastProcessID++
	c := newConnection(s, socket, s.lastProcessID)
	s.connections[s.lastProcessID] = c
	s.loop.Timers.Schedule(s.loop.Now()+startupTimeout, func() {
		if c.state == stateStartup {
			c.close()
		}
	})
	return c
}

// SetOptions changes the options for statements that are prepared later and clients that connect later. The limits of
// bytes apply at once, but only to what is buffered or prepared later.
func (s *Server) SetOptions(options Options) {
	if options.MaxBufferedBytes <= 0 {
		options.MaxBufferedBytes = defaultMaxBufferedBytes
	}
	if options.MaxStatementBytes <= 0 {
		options.MaxStatementBytes = defaultMaxStatementBytes
	}
	s.options = options
	s.rowBudget.SetLimit(options.MaxBufferedBytes)
	s.statementBudget.SetLimit(options.MaxStatementBytes)
}

// Drain closes the connections in a graceful shutdown. It closes each connection at once, or after the next
// ReadyForQuery if a request is in flight. The last message is an ErrorResponse, which is also the response to unread
// messages.
func (s *Server) Drain() {
	s.draining = true
	for _, c := range s.connections {
		if c.state != stateInFlight {
			c.fatal(errShuttingDown())
		}
	}
}

// Finish ends a graceful shutdown. It is called after Dispatcher.CompleteAll, which has responded to all requests: no
// request is in flight, so that Drain closes all connections.
func (s *Server) Finish() { s.Drain() }

// Idle reports whether no client is connected.
func (s *Server) Idle() bool { return len(s.connections) == 0 }
