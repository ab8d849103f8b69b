package clientconn

import "flaxrelay/internal/eventloop"

// PauseUntilFlushed reports whether more than maxPending bytes wait to be sent to the client. If so, the handler must
// return without reading more: it is called again once all pending bytes are sent. This protects against clients that
// send requests and do not read the responses.
func PauseUntilFlushed(socket *eventloop.Conn, maxPending int) bool {
	if socket.PendingWrite() <= maxPending {
		return false
	}
	socket.OnFlushed(socket.Redeliver)
	return true
}
