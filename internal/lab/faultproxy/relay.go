package faultproxy

import (
	"errors"
	"io"
	"net"
	"sync"
	"time"
)

const (
	// chunkSize is the largest number of bytes that are relayed at once.
	chunkSize = 16 << 10
	// maxChunksInTransit limits the chunks in transit in one direction, so that a slow direction
	// applies back pressure to its sender.
	maxChunksInTransit = 64
	// corruption is XORed into a byte to change it.
	corruption = 0x55
)

// direction is a direction through a relay.
type direction int

const (
	requests  direction = iota // from the client to the server
	responses                  // from the server to the client
)

// closeMode is how a connection is closed.
type closeMode int

const (
	closeGracefully closeMode = iota
	closeByReset
)

// reset closes a connection with an RST.
func reset(conn *net.TCPConn) {
	_ = conn.SetLinger(0) // without this, Close would close the connection gracefully
	_ = conn.Close()
}

// relay is one connection through the proxy. Each direction has a reading and a writing goroutine.
type relay struct {
	proxy     *Proxy
	client    *net.TCPConn
	server    *net.TCPConn
	closeOnce sync.Once
	done      chan struct{} // closed when the relay is closed
}

// close closes both connections and ends all goroutines of the relay. It may be called from any
// goroutine; calls after the first have no effect.
func (r *relay) close(mode closeMode) {
	r.closeOnce.Do(func() {
		close(r.done)
		for _, conn := range []*net.TCPConn{r.client, r.server} {
			if mode == closeByReset {
				reset(conn)
			} else {
				_ = conn.Close()
			}
		}
		r.proxy.remove(r)
	})
}

// chunk is an element in transit: bytes, or the end of the sender's stream.
type chunk struct {
	bytes []byte
	due   time.Time // when the chunk is written
	end   bool
}

// copy relays one direction until the sender closes it or the relay is closed. The reader sets the time at
// which each chunk is due, and the writer waits for that time.
func (r *relay) copy(from, to *net.TCPConn, dir direction) {
	transit := make(chan chunk, maxChunksInTransit)
	go r.read(from, dir, transit)
	r.write(to, transit)
}

// read puts the received bytes in transit until the sender closes its direction or the relay is closed.
func (r *relay) read(from *net.TCPConn, dir direction, transit chan<- chunk) {
	defer close(transit)
	var lastDue time.Time
	for {
		bytes := make([]byte, chunkSize)
		n, err := from.Read(bytes)
		if n > 0 {
			if dir == responses && r.proxy.active(DropResponses) {
				continue
			}
			due := time.Now().Add(r.proxy.delay())
			if due.Before(lastDue) { // jitter does not change the order
				due = lastDue
			}
			lastDue = due
			if dir == responses && r.proxy.active(CorruptResponses) {
				bytes[r.proxy.randomIndex(n)] ^= corruption
			}
			if !r.send(transit, chunk{bytes: bytes[:n], due: due}) {
				return
			}
		}
		if errors.Is(err, io.EOF) {
			r.send(transit, chunk{end: true, due: time.Now().Add(r.proxy.opts.Delay)})
			return
		}
		if err != nil {
			r.close(closeByReset)
			return
		}
	}
}

// send puts a chunk in transit, and reports whether the relay is still open.
func (r *relay) send(transit chan<- chunk, c chunk) bool {
	select {
	case transit <- c:
		return true
	case <-r.done:
		return false
	}
}

// write writes each chunk in transit when it is due.
func (r *relay) write(to *net.TCPConn, transit <-chan chunk) {
	for c := range transit {
		if !r.waitUntil(c.due) {
			return
		}
		if c.end {
			_ = to.CloseWrite() // the direction may be closed already
			continue
		}
		if _, err := to.Write(c.bytes); err != nil {
			r.close(closeByReset)
			return
		}
		bandwidth := r.proxy.opts.Bandwidth
		if bandwidth > 0 && !r.waitUntil(time.Now().Add(transferTime(len(c.bytes), bandwidth))) {
			return
		}
	}
}

// transferTime returns how long the transfer of length bytes takes at a bandwidth in bytes per second.
func transferTime(length, bandwidth int) time.Duration {
	return time.Duration(float64(length) / float64(bandwidth) * float64(time.Second))
}

// waitUntil waits until the due time, and then until no stall is active. It returns false if the relay is
// closed first.
func (r *relay) waitUntil(due time.Time) bool {
	if wait := time.Until(due); wait > 0 {
		timer := time.NewTimer(wait)
		defer timer.Stop()
		select {
		case <-timer.C:
		case <-r.done:
			return false
		}
	}
	for {
		change := r.proxy.nextChange() // before the check, so that no change after the check is missed
		if !r.proxy.active(Stall) {
			return true
		}
		select {
		case <-change:
		case <-r.done:
			return false
		}
	}
}
