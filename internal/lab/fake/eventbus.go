package fake

import (
	"encoding/binary"
	"net"
	"time"
)

const (
	// BusRequestLength is the length of a watch request in bytes: the offset from which to resume.
	BusRequestLength = 8
	// BusHeartbeat is the interval of the heartbeats, which is that of the real bus.
	BusHeartbeat = time.Second
	// emptyBatch is an encoded list without events.
	emptyBatch = 0
)

// ServeEventBus serves an event bus on a listener that publishes no events, only heartbeats.
func ServeEventBus(listener net.Listener, lastOffset uint64) {
	serveConnections(listener, func(conn net.Conn) {
		if _, err := conn.Read(make([]byte, BusRequestLength)); err != nil {
			return
		}
		frame := heartbeatFrame(lastOffset)
		for {
			if _, err := conn.Write(frame); err != nil {
				return
			}
			time.Sleep(BusHeartbeat)
		}
	})
}

// heartbeatFrame returns a frame without events: its length, the last offset and an empty batch.
func heartbeatFrame(lastOffset uint64) []byte {
	body := append(binary.BigEndian.AppendUint64(nil, lastOffset), emptyBatch)
	frame := binary.BigEndian.AppendUint32(nil, uint32(len(body)))
	return append(frame, body...)
}
