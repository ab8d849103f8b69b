package eventloop

import (
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// reader reads a connection's socket into its buffer, and hands the buffer to the handler. The state of the connection
// determines whether bytes are buffered, discarded or left in the socket. Reading pauses while the buffer is full, and
// while a buffer that holds readSize bytes or more waits for the budget.
//
// Both goroutines read: the poller's when the socket is readable, the loop's before an idle connection is closed and
// after a failed write. The mutex mu serializes these reads and the handler's use of the buffer.
//
// The booleans are independent of each other: any combination of them can occur.
type reader struct {
	// Set once, by newConn.
	loop   *Loop
	socket *socket
	state  *atomicConnState
	budget *readBudget
	limit  int           // unread bytes at which the buffer is full; at least the size of the largest message
	onData func(*Buffer) // calls the handler

	aheadLimited atomic.Bool  // written only by the loop's goroutine
	budgetState  atomic.Int32 // a budgetState; written only with mu held

	mu                 sync.Mutex
	in                 Buffer // guarded by mu, as are the fields below
	deliveryPosted     bool   // a call of deliver is in the loop's queue
	paused             bool   // the buffer is full or waits for the budget, and the socket may hold more
	bytesMayHaveWaited bool   // the next bytes may have been in the socket for a long time
	discarded          int    // bytes received after Close
}

// readMode defines when reading a socket ends, unless the buffer becomes full earlier.
type readMode int

const (
	// readUntilShort: until a read returns fewer bytes than it asked for. If the socket holds more, it raises another
	// event.
	readUntilShort readMode = iota
	// readUntilEmpty: until the socket holds no more bytes, or the stream has ended.
	readUntilEmpty
	// readBeforeClose is like readUntilEmpty, but does not wait for the budget: the socket is closed next.
	readBeforeClose
)

// read reads what the socket holds. It is called on the poller's goroutine.
func (r *reader) read(scratch []byte, mode readMode) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.readAndPostLocked(scratch, mode)
}

// readNow reads what the socket holds, and reports whether a delivery is due. It must be called on the loop's
// goroutine.
func (r *reader) readNow() (undelivered bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.readAndPostLocked(r.loop.scratch, readUntilShort)
	return r.deliveryPosted
}

// readToEndAndClose reads what the peer has sent, and then closes the socket with the error of a failed write. It
// must be called on the loop's goroutine.
func (r *reader) readToEndAndClose(err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.readAndPostLocked(r.loop.scratch, readBeforeClose)
	r.socket.close(err)
}

// readAndPostLocked reads, and posts the delivery of what was read. If the stream has ended, it closes the socket after
// that, so that the end of the connection is posted after the delivery: no byte before the end is lost.
func (r *reader) readAndPostLocked(scratch []byte, mode readMode) {
	deliver, ended, err := r.readAvailableLocked(scratch, mode)
	if deliver && !r.deliveryPosted {
		r.deliveryPosted = true
		r.loop.Post(r.deliver)
	}
	if ended {
		r.socket.close(err)
	}
}

// readAvailableLocked reads what the socket holds, as far as the mode and the buffer permit. It reports whether the
// handler must be called, and whether the stream has ended, with an error or without.
func (r *reader) readAvailableLocked(scratch []byte, mode readMode) (deliver, ended bool, err error) {
	for {
		if r.state.load() == connLingering {
			r.socket.setReadInterest(streamEndEvents)
			return deliver, false, nil
		}
		if r.in.Len() >= r.currentLimit() {
			r.pauseLocked()
			return deliver, false, nil
		}
		target := r.nextReadLocked(scratch, mode)
		if len(target) == 0 {
			if !deliver { // otherwise another event reports whether the socket holds more
				r.awaitBudgetLocked()
			}
			return deliver, false, nil
		}
		n, err := r.socket.read(target)
		switch {
		case n > 0:
			buffered, readOn := r.bufferOrDiscardLocked(target[:n])
			deliver = deliver || buffered
			if !readOn || mode == readUntilShort && n < len(target) {
				return deliver, false, nil
			}
		case errors.Is(err, unix.EAGAIN), errors.Is(err, net.ErrClosed):
			return deliver, false, nil
		default: // the end of the stream, or an error
			return deliver, true, err
		}
	}
}

// pauseLocked stops the poller's events for reading until there is space in the buffer. If the read-ahead is limited,
// the poller still reports the end of the stream. Otherwise the end is detected once the bytes before it are read.
func (r *reader) pauseLocked() {
	r.leaveBudgetLocked()
	r.paused = true
	if r.aheadLimited.Load() {
		r.socket.setReadInterest(streamEndEvents)
	} else {
		r.socket.setReadInterest(noReadEvents)
	}
}

// bufferOrDiscardLocked buffers received bytes for the handler, or discards them if a close has started, possibly
// during the read. It reports whether the bytes are for the handler, and whether to read on.
func (r *reader) bufferOrDiscardLocked(data []byte) (buffered, readOn bool) {
	if r.state.load() != connOpen {
		return false, r.discardLocked(len(data))
	}
	r.in.append(data, r.arrivalTimeLocked())
	r.budget.add(len(data))
	return true, true
}

// discardLocked counts bytes that arrived after Close and are dropped. They are read because a socket that is closed
// with unread bytes resets the connection. It reports whether to read on. Reading ends once more than the size of a
// full buffer has been discarded, because a peer that sends this much may continue at full speed.
func (r *reader) discardLocked(n int) (readOn bool) {
	r.discarded += n
	if r.discarded > r.limit {
		r.socket.setReadInterest(streamEndEvents)
		return false
	}
	return true
}

// arrivalTimeLocked returns when the bytes that have just been read arrived. That is the current time, unless the bytes
// may have waited for the connection to be accepted, or for space in the buffer.
func (r *reader) arrivalTimeLocked() time.Duration {
	now := r.loop.Now()
	if !r.bytesMayHaveWaited {
		return now
	}
	r.bytesMayHaveWaited = false
	return now - r.socket.lastDataAge()
}

// currentLimit returns the number of unread bytes at which the buffer counts as full. The last read before the pause
// may exceed it.
func (r *reader) currentLimit() int {
	if r.aheadLimited.Load() {
		return min(readSize, r.limit)
	}
	return r.limit
}

// redeliver schedules a call of deliver. It may be called while mu is held.
func (r *reader) redeliver() { r.loop.Post(r.deliver) }

// deliver hands the buffer to the handler, and resumes reading if there is space again. It must be called on the loop's
// goroutine.
func (r *reader) deliver() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.deliveryPosted = false
	before := r.in.Len()
	switch r.state.load() {
	case connOpen:
		r.onData(&r.in)
	case connClosing, connLingering:
		// The peer of a closed connection must assume that its last bytes were not processed.
		r.in.Consume(before)
	case connClosed:
	}
	r.budget.add(r.in.Len() - before)
	if r.paused {
		r.resumeIfSpaceLocked()
	}
}

// resumeIfSpaceLocked resumes reading unless the buffer is still full or waits for the budget.
func (r *reader) resumeIfSpaceLocked() {
	if r.in.Len() >= r.currentLimit() {
		r.pauseLocked() // again: the handler may have limited the read-ahead
		return
	}
	if r.awaitsBudget() {
		if r.in.Len() >= readSize {
			return
		}
		r.leaveBudgetLocked()
	}
	r.resumeLocked()
}

func (r *reader) resumeLocked() {
	r.paused = false
	r.bytesMayHaveWaited = true
	r.socket.setReadInterest(readEvents)
}

// unreadBytes returns the number of bytes in the buffer. It locks mu, and therefore must not be called from OnData.
func (r *reader) unreadBytes() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.in.Len()
}

// releaseBufferLocked drops the bytes that were read and not consumed.
func (r *reader) releaseBufferLocked() {
	r.leaveBudgetLocked()
	r.budget.add(-r.in.Len())
	r.in = Buffer{}
}
