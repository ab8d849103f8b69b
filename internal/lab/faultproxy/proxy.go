// Package faultproxy is a loopback TCP proxy that injects network faults: delay with jitter, limited
// bandwidth, stalls, disconnects, resets, half-closes, corrupt and lost responses. A schedule and a seed
// determine the faults, so that a run can be repeated. Listen starts a proxy in front of a server; clients
// connect to the proxy's Addr in place of the server's address.
package faultproxy

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"
)

const (
	// serverDialTimeout limits each attempt to connect to the server.
	serverDialTimeout = 2 * time.Second
	// randomStream is the second word of the seed. It differs from the second words of other uses of the seed.
	randomStream = 0x6c696e6b
)

// anyLoopbackPort lets the kernel choose a free port.
var anyLoopbackPort = netip.MustParseAddrPort("127.0.0.1:0")

// Options configure a proxy.
type Options struct {
	Delay     time.Duration // of each direction
	Jitter    time.Duration // limit of a uniform random time that is added to Delay; the bytes stay in order
	Bandwidth int           // bytes per second of each direction; 0: no limit
	Faults    []Fault
	Seed      uint64
}

// Proxy is a listening TCP proxy. It is safe for concurrent use.
type Proxy struct {
	opts     Options
	server   string
	listener *net.TCPListener
	start    time.Time
	timers   []*time.Timer // of the faults

	mu     sync.Mutex // guards the fields below
	relays map[*relay]bool
	random *rand.Rand
	change chan struct{} // closed and replaced when a fault begins or ends
	closed bool
}

// NotLoopbackError reports an address that is not on the loopback interface.
type NotLoopbackError struct {
	Addr string
}

func (e *NotLoopbackError) Error() string {
	return fmt.Sprintf("faultproxy: %q is not a loopback address", e.Addr)
}

// Listen starts a proxy in front of a server. Both listen at loopback addresses.
func Listen(server string, opts Options) (*Proxy, error) {
	for i, fault := range opts.Faults {
		if !fault.Kind.known() {
			return nil, &UnknownKindError{Index: i, Kind: fault.Kind}
		}
	}
	if host, _, err := net.SplitHostPort(server); err != nil || !net.ParseIP(host).IsLoopback() {
		return nil, &NotLoopbackError{Addr: server}
	}
	listener, err := net.ListenTCP("tcp", net.TCPAddrFromAddrPort(anyLoopbackPort))
	if err != nil {
		return nil, fmt.Errorf("faultproxy: %w", err)
	}
	p := &Proxy{
		opts: opts, server: server, listener: listener, start: time.Now(),
		relays: map[*relay]bool{}, change: make(chan struct{}),
		random: rand.New(rand.NewPCG(opts.Seed, randomStream)),
	}
	p.schedule()
	go p.acceptAll()
	return p, nil
}

// Addr returns the address at which clients connect.
func (p *Proxy) Addr() string { return p.listener.Addr().String() }

// Close closes the proxy and all connections through it.
func (p *Proxy) Close() {
	p.mu.Lock()
	p.closed = true
	for _, timer := range p.timers {
		timer.Stop()
	}
	p.mu.Unlock()
	_ = p.listener.Close()
	p.forEachRelay(func(r *relay) { r.close(closeGracefully) })
}

// forEachRelay calls do for each open relay. It does not hold mu during the calls, because do may lock mu.
func (p *Proxy) forEachRelay(do func(*relay)) {
	p.mu.Lock()
	all := make([]*relay, 0, len(p.relays))
	for r := range p.relays {
		all = append(all, r)
	}
	p.mu.Unlock()
	for _, r := range all {
		do(r)
	}
}

func (p *Proxy) acceptAll() {
	for {
		client, err := p.listener.AcceptTCP()
		if err != nil {
			return
		}
		if p.active(Disconnect) {
			reset(client)
			continue
		}
		server, err := dialTCP(p.server)
		if err != nil {
			reset(client)
			continue
		}
		r := &relay{proxy: p, client: client, server: server, done: make(chan struct{})}
		if !p.add(r) {
			r.close(closeGracefully)
			return
		}
		go r.copy(client, r.server, requests)
		go r.copy(r.server, client, responses)
	}
}

// notTCPError reports a connection that does not use TCP.
type notTCPError struct{ conn net.Conn }

func (e *notTCPError) Error() string {
	return fmt.Sprintf("faultproxy: %T is not a TCP connection", e.conn)
}

func dialTCP(server string) (*net.TCPConn, error) {
	conn, err := net.DialTimeout("tcp", server, serverDialTimeout)
	if err != nil {
		return nil, fmt.Errorf("faultproxy: %w", err)
	}
	tcpConn, ok := conn.(*net.TCPConn)
	if !ok {
		_ = conn.Close()
		return nil, &notTCPError{conn: conn}
	}
	return tcpConn, nil
}

// add registers a relay, and reports whether the proxy is still open.
func (p *Proxy) add(r *relay) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return false
	}
	p.relays[r] = true
	return true
}

func (p *Proxy) remove(r *relay) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.relays, r)
}

// delay returns how long one chunk is in transit: Options.Delay and a random part of Options.Jitter.
func (p *Proxy) delay() time.Duration {
	if p.opts.Jitter <= 0 {
		return p.opts.Delay
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.opts.Delay + time.Duration(p.random.Int64N(int64(p.opts.Jitter)))
}

// randomIndex returns a random index below n.
func (p *Proxy) randomIndex(n int) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.random.IntN(n)
}
