package pgserver

import (
	"crypto/rand"
	"crypto/subtle"
	"encoding/binary"

	"flaxrelay/internal/metrics"
)

const (
	processIDSize = 4 // bytes
	secretSize    = 4 // bytes
)

// cancelKey identifies a connection in a CancelRequest. A CancelRequest with a wrong secret is ignored.
type cancelKey struct {
	processID uint32
	secret    [secretSize]byte
}

func (k *cancelKey) generateSecret() {
	_, _ = rand.Read(k.secret[:]) // never returns an error
}

// body returns the key as the body of a BackendKeyData or a CancelRequest.
func (k *cancelKey) body() []byte {
	return append(binary.BigEndian.AppendUint32(nil, k.processID), k.secret[:]...)
}

// cancel ends the request in flight on the connection that a CancelRequest identifies. The CancelRequest is ignored if
// there is no such connection or request, or if its secret is wrong.
func (s *Server) cancel(body []byte) {
	if len(body) != processIDSize+secretSize {
		return
	}
	processID := binary.BigEndian.Uint32(body)
	secret := body[processIDSize:]
	c := s.connections[processID]
	if c == nil || c.state != stateInFlight || subtle.ConstantTimeCompare(c.key.secret[:], secret) != 1 {
		return
	}
	s.counters.Increment(metrics.PostgresCancelRequests)
	c.cancel()
}
