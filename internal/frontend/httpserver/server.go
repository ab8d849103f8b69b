// Package httpserver serves HTTP/1.1 clients: it reads one request at a time from each
// connection, passes it to the dispatcher and writes the response.
package httpserver

import (
	"fmt"
	"strconv"
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

// SpareClients is how many connections may be accepted past the limit while others are
// being closed for them.
const SpareClients = 16

// Options bound the resources that clients may use.
type Options struct {
	MaxClients       int                // open connections; past it the longest idle ones are evicted
	MaxBufferedBytes int                // bytes of results that are buffered for clients to fetch
	Estimator        *stmtstats.Service // estimates costs by query shape; nil: off
	ReadTimeout      time.Duration      // within which a connection's first request, and any begun, must be complete
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

// Server accepts HTTP clients. It and its connections belong to the goroutine of the
// event loop.
type Server struct {
	clientconn.Listener
	loop       *eventloop.Loop
	dispatcher *lifecycle.Dispatcher
	options    Options
	counters   *metrics.Counters

	connections      map[*connection]struct{}
	inFlightIDs      map[string]struct{} // of requests that are not answered yet
	results          *resultStore
	draining         bool // a graceful shutdown has begun
	finishing        bool // it is about to end: nothing more is waited for
	evictionRetrySet bool // a timer will call evictExcess again
}

// New returns a server that passes its requests to the dispatcher.
func New(loop *eventloop.Loop, dispatcher *lifecycle.Dispatcher, options Options, counters *metrics.Counters) *Server {
	options = options.withDefaults()
	instanceID := strconv.FormatInt(int64(dispatcher.Now()), 36)
	return &Server{
		loop: loop, dispatcher: dispatcher, options: options, counters: counters,
		connections: map[*connection]struct{}{}, inFlightIDs: map[string]struct{}{},
		results: newResultStore(instanceID, options.MaxBufferedBytes),
	}
}

// Listen accepts clients at the address.
func (s *Server) Listen(address string) error {
	listener, err := clientconn.Listen(s.loop, address, maxRequest, s.options.MaxClients+SpareClients, s.accept)
	if err != nil {
		return fmt.Errorf("listen for clients: %w", err)
	}
	s.Listener = listener
	s.closeIdle()
	return nil
}

func (s *Server) accept(socket *eventloop.Conn) eventloop.Handler {
	s.counters.IncrementByName("http.connections")
	c := &connection{server: s, socket: socket, lastActive: s.loop.Now()}
	s.connections[c] = struct{}{}
	if len(s.connections) > s.options.MaxClients {
		s.evictExcess()
	}
	c.startReadTimer()
	return c
}

// Drain begins a graceful shutdown: each connection is closed as soon as it is idle. A
// request that has partly arrived is still served once it is complete; its read timer
// bounds the wait for it.
func (s *Server) Drain() {
	s.draining = true
	for c := range s.connections {
		if c.idle() {
			c.closeUnused(closeShutdown)
		}
	}
}

// Finish ends a graceful shutdown, once the dispatcher rejects whatever comes: the requests that
// have arrived are rejected by it, and one that has partly arrived is refused.
func (s *Server) Finish() {
	s.finishing = true
	for c := range s.connections {
		if c.awaitsRequest() && !c.closeUnused(closeShutdown) {
			c.socket.Redeliver()
		}
	}
}

// Idle reports whether all clients have received their responses completely.
func (s *Server) Idle() bool {
	return s.results.allServed() && len(s.connections) == 0
}
