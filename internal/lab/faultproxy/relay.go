package faultproxy

import (
	"errors"
	"io"
	"net"
	"sync"
	"time"
)

const (
	// chunkSize bounds what is relayed at once.
	chunkSize = 16 << 10
	// maxChunksInTransit bounds the chunks in transit in one direction, so that a slow direction
	// applies back pressure to its sender.
	maxChunksInTransit = 64
	// corruption is what a changed byte is combined with by exclusive or.
	corruption = 0x55
)

// direction is a direction through a relay.
type direction int

const (
	requests direction = iota // from the client to the server
	replies                   // from the server to the client
)

// closeMode is how a connection is closed.
type closeMode int

const (
	closeGracefully closeMode = iota
	closeByReset
)

// reset closes a connection with a RST.
func reset(conn *net.TCPConn) {
	_ = conn.SetLinger(0) // else it would be closed gracefully
	_ = conn.Close()
}

// relay is one connection through the proxy. Each direction has a goroutine that reads and one
// that writes.
type relay struct {
	proxy          *Proxy
	client, server *net.TCPConn
	once           sync.Once
	done           chan struct{}
}

func (r *relay) close(mode closeMode) {
	r.once.Do(func() {
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

// chunk is what is in transit: bytes, or the end of the sender's side.
type chunk struct {
	bytes []byte
	due   time.Time
	end   bool
}

// copy carries one direction: a reader stamps chunks with the time at which they are due, and
// a writer waits for it.
func (r *relay) copy(from, to *net.TCPConn, way direction) {
	transit := make(chan chunk, maxChunksInTransit)
	go r.read(from, way, transit)
	r.write(to, transit)
}

// read puts in transit what arrives, until the sender's side or the relay ends.
func (r *relay) read(from *net.TCPConn, way direction, transit chan<- chunk) {
	defer close(transit)
	var lastDue time.Time
	for {
		bytes := make([]byte, chunkSize)
		n, err := from.Read(bytes)
		if n > 0 {
			if way == replies && r.proxy.active(DropReplies) {
				continue
			}
			due := time.Now().Add(r.proxy.delay())
			if due.Before(lastDue) { // jitter does not change the order
				due = lastDue
			}
			lastDue = due
			if way == replies && r.proxy.active(CorruptReplies) {
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

// write writes what is in transit once it is due.
func (r *relay) write(to *net.TCPConn, transit <-chan chunk) {
	for c := range transit {
		if !r.waitUntil(c.due) {
			return
		}
		if c.end {
			_ = to.CloseWrite() // it may be closed already
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

// transferTime is how long the bytes take at a bandwidth in bytes a second.
func transferTime(length, bandwidth int) time.Duration {
	return time.Duration(float64(length) / float64(bandwidth) * float64(time.Second))
}

// waitUntil waits until a time, and then for the end of a stall. It returns false where the
// relay ends before.
func (r *relay) waitUntil(moment time.Time) bool {
	if wait := time.Until(moment); wait > 0 {
		timer := time.NewTimer(wait)
		defer timer.Stop()
		select {
		case <-timer.C:
		case <-r.done:
			return false
		}
	}
	for {
		change := r.proxy.nextChange() // taken first: a change after the check is not missed
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
