package fake

import (
	"encoding/binary"
	"net"
	"time"
)

const (
	// busRequestLength is the length of a watch request: the offset from which to resume.
	busRequestLength = 8
	// busHeartbeat is the interval of the empty frames, in the pace of the real bus.
	busHeartbeat = time.Second
	// emptyBatch is the encoded list of no events.
	emptyBatch = 0
)

// ServeEventBus serves the event bus on a listener: there never is an event, and an empty frame each
// second is its heartbeat.
func ServeEventBus(listener net.Listener, lastOffset uint64) {
	serveConnections(listener, func(conn net.Conn) {
		if _, err := conn.Read(make([]byte, busRequestLength)); err != nil {
			return
		}
		frame := heartbeatFrame(lastOffset)
		for {
			if _, err := conn.Write(frame); err != nil {
				return
			}
			time.Sleep(busHeartbeat)
		}
	})
}

// heartbeatFrame is a frame without an event: its length, the last offset and an empty batch.
func heartbeatFrame(lastOffset uint64) []byte {
	body := append(binary.BigEndian.AppendUint64(nil, lastOffset), emptyBatch)
	frame := binary.BigEndian.AppendUint32(nil, uint32(len(body)))
	return append(frame, body...)
}
