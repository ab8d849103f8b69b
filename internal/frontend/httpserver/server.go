// Package httpserver serves HTTP/1.1 clients: it reads one request at a time from each connection, passes it to the
// dispatcher and writes the response.
//
// New returns a Server, and Server.Listen accepts clients. A graceful shutdown calls CloseListener and Drain, and
// Finish when the final responses are due. The process may exit once Idle reports true.
//
// A Server accepts connections and owns the state that they share: the ids of requests in flight (requestBuilder), the
// results that are fetched page by page (resultStore) and the limit of open connections (evictor). Each connection is a
// state machine, whose diagram is in the comment of connectionState. Its requestReader parses the requests.
package httpserver

import (
	"fmt"
	"time"

	"flaxrelay/internal/eventloop"
	"flaxrelay/internal/frontend/clientconn"
	"flaxrelay/internal/lifecycle"
	"flaxrelay/internal/metrics"
	"flaxrelay/internal/stmtstats"
)

// Defaults of the options.
const (
	defaultMaxClients       = 512
	defaultMaxBufferedBytes = 16 << 20
	defaultReadTimeout      = 2 * time.Second
)

// SpareClients is the number of connections that may be accepted beyond MaxClients while others are evicted to make
// room.
const SpareClients = 16

// Options limit the resources that clients may use.
type Options struct {
	MaxClients       int                // limit of open connections; beyond it some are evicted, see evictor
	MaxBufferedBytes int                // limit of bytes of results that are buffered for clients to fetch
	Estimator        *stmtstats.Service // estimates costs by statement shape; nil: no estimates
	ReadTimeout      time.Duration      // limits the wait for the first request and for the rest of a partial one
}

func (o Options) withDefaults() Options {
	if o.MaxClients <= 0 {
		o.MaxClients = defaultMaxClients
	}
	if o.MaxBufferedBytes <= 0 {
		o.MaxBufferedBytes = defaultMaxBufferedBytes
	}
	if o.ReadTimeout <= 0 {
		o.ReadTimeout = defaultReadTimeout
	}
	return o
}

// Server accepts HTTP clients. Its methods must be called on the goroutine of the event loop, which owns the server and
// its connections. New and Listen may also be called before the loop runs.
type Server struct {
	clientconn.Listener
	loop       *eventloop.Loop
	dispatcher *lifecycle.Dispatcher
	options    Options
	counters   *metrics.Counters

	connections map[*connection]struct{} // shared with the evictor
	evictor     *evictor
	requests    *requestBuilder
	results     *resultStore

	// Drain and Finish set these. Finish may be called first: if the deadlines of all classes are short, the final
	// responses of a graceful shutdown are due before Drain would be called.
	draining  bool // connections are closed as soon as they are unused
	finishing bool // the process is about to exit: partly received requests are rejected
}

// New returns a server that passes its requests to the dispatcher.
func New(loop *eventloop.Loop, dispatcher *lifecycle.Dispatcher, options Options, counters *metrics.Counters) *Server {
	options = options.withDefaults()
	connections := map[*connection]struct{}{}
	return &Server{
		loop:        loop,
		dispatcher:  dispatcher,
		options:     options,
		counters:    counters,
		connections: connections,
		evictor: &evictor{
			loop: loop, counters: counters, connections: connections, maxClients: options.MaxClients,
		},
		requests: newRequestBuilder(dispatcher, options.Estimator),
		results:  newResultStore(loop.Timers, options.MaxBufferedBytes),
	}
}

// Listen accepts clients at the address.
func (s *Server) Listen(address string) error {
	listener, err := clientconn.Listen(s.loop, address, maxRequest, s.options.MaxClients+SpareClients, s.accept)
	if err != nil {
		return fmt.Errorf("listen for clients: %w", err)
	}
	s.Listener = listener
	s.evictor.closeIdle()
	return nil
}

func (s *Server) accept(socket *eventloop.Conn) eventloop.Handler {
	s.counters.Increment(metrics.HTTPConnections)
	c := &connection{
		server: s, socket: socket, reader: requestReader{socket: socket}, lastActive: s.loop.Now(),
	}
	s.connections[c] = struct{}{}
	if len(s.connections) > s.options.MaxClients {
		s.evictor.evictExcess()
	}
	c.startReadTimer()
	return c
}

// Drain closes the connections in a graceful shutdown, each as soon as it is unused. A partly received request is still
// served once it is complete; the read timer of its connection limits the wait.
func (s *Server) Drain() {
	s.draining = true
	for c := range s.connections {
		if c.unused() {
			c.closeUnused(closeShutdown)
		}
	}
}

// Finish ends a graceful shutdown. It is called after Dispatcher.CompleteAll: the dispatcher then rejects the requests
// that have arrived completely, and the server rejects those that have arrived only in part.
func (s *Server) Finish() {
	s.finishing = true
	for c := range s.connections {
		if c.state.awaitsRequest() && !c.closeUnused(closeShutdown) {
			c.socket.Redeliver()
		}
	}
}

// Idle reports whether no client is connected and the last page of each buffered result has been served.
func (s *Server) Idle() bool {
	return s.results.allServed() && len(s.connections) == 0
}
