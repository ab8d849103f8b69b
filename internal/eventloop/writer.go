package eventloop

import "sync/atomic"

// writer passes the handler's writes to the socket. It counts the bytes that wait to be sent, and reports when all are
// sent. The method bytesSent may be called from any goroutine, the others from the loop's goroutine only.
type writer struct {
	// Set once, by newConn.
	loop         *Loop
	socket       *socket
	state        *atomicConnState
	notifyCloser func() // called once nothing is pending, before onFlushed

	pending      atomic.Int64 // bytes not yet sent: the loop's goroutine adds, the goroutine that sends subtracts
	flushAwaited atomic.Bool  // flushed must be posted once nothing is pending
	onFlushed    func()       // set by the handler, or nil; used only on the loop's goroutine
}

// write sends or queues data, and returns false if the connection does not accept it.
func (w *writer) write(data []byte) bool {
	if w.state.load() != connOpen {
		return false
	}
	if len(data) == 0 {
		return true
	}
	w.pending.Add(int64(len(data)))
	return w.socket.write(data) == nil
}

// notifyWhenFlushed schedules the calls of notifyCloser and then of f on a later turn, once nothing is pending. f may
// be nil.
func (w *writer) notifyWhenFlushed(f func()) {
	w.onFlushed = f
	w.flushAwaited.Store(true)
	if w.pending.Load() == 0 {
		w.loop.Post(w.flushed)
	}
}

// bytesSent subtracts n bytes that the socket has sent. It is called with the socket's mutex held.
func (w *writer) bytesSent(n int) {
	if w.pending.Add(-int64(n)) == 0 && w.flushAwaited.Load() {
		w.loop.Post(w.flushed)
	}
}

// flushed notifies the closer and the handler that nothing is pending. It does nothing if the handler has written again
// since flushed was posted, or if it has run already.
func (w *writer) flushed() {
	if w.pending.Load() > 0 || !w.flushAwaited.Swap(false) {
		return
	}
	w.notifyCloser()
	if f := w.onFlushed; f != nil {
		w.onFlushed = nil
		f()
	}
}
