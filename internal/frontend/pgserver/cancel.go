package pgserver

import (
	"crypto/subtle"
	"encoding/binary"
)

// cancelRequestSize is the bytes of a CancelRequest past its code: a process ID and a
// secret key.
const cancelRequestSize = 8

// cancel ends the request in flight on the connection that a CancelRequest names.
func (s *Server) cancel(body []byte) {
	if len(body) != cancelRequestSize {
		return
	}
	c := s.connections[binary.BigEndian.Uint32(body)]
	if c == nil || c.state != stateInFlight || subtle.ConstantTimeCompare(c.secretKey[:], body[4:]) != 1 {
		return
	}
	s.counters.IncrementByName("postgres.cancel-requests")
	request := c.request
	c.endRequest()
	e := newError(codeQueryCanceled, "canceling statement due to user request")
	if s.dispatcher.MayHaveRun(request) {
		e = errCompletionUnknown()
	}
	s.dispatcher.ClientDisconnected(request)
	c.sendError(e)
	c.resume()
}
