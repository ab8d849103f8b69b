package fake

import (
	"encoding/binary"
	"net"
	"time"
)

const (
	// BusRequestLength is the length of a watch request in bytes: the offset from which to resume.
	BusRequestLength = 8
	// BusHeartbeatInterval is the interval of the heartbeats, which is that of the real bus.
	BusHeartbeatInterval = time.Second
)

// BusFrameKind is the kind of a frame of the bus, by its number.
type BusFrameKind byte

// The kinds of frames that emulated buses send.
const (
	BusFrameHeartbeat BusFrameKind = 0 // has no records
	BusFrameDelta     BusFrameKind = 2 // has the records of the engines that changed
)

// BusFrame encodes a frame: the length of the rest, the number of an event, the kind and the records.
func BusFrame(event uint64, kind BusFrameKind, records []byte) []byte {
	body := append(binary.BigEndian.AppendUint64(nil, event), byte(kind))
	body = append(body, records...)
	return append(binary.BigEndian.AppendUint32(nil, uint32(len(body))), body...)
}

// ServeEventBus serves an event bus on a listener that publishes no events, only heartbeats.
func ServeEventBus(listener net.Listener, lastOffset uint64) {
	serveConnections(listener, func(conn net.Conn) {
		if _, err := conn.Read(make([]byte, BusRequestLength)); err != nil {
			return
		}
		heartbeat := BusFrame(lastOffset, BusFrameHeartbeat, nil)
		for {
			if _, err := conn.Write(heartbeat); err != nil {
				return
			}
			time.Sleep(BusHeartbeatInterval)
		}
	})
}
