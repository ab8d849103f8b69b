package fake

import (
	"encoding/binary"
	"net"
	"time"
)

const (
	// BusSubscriptionLength is the length in bytes of the first message on a connection. The message is the
	// number of the last event that the front end has received.
	BusSubscriptionLength = 8
	// BusHeartbeatInterval is the interval of the heartbeats. It equals the interval of the real bus.
	BusHeartbeatInterval = time.Second
)

// BusFrameKind is the kind of a frame, as a number in the frame.
type BusFrameKind byte

// The kinds of frames that fake buses send.
const (
	BusFrameHeartbeat BusFrameKind = 0 // without records
	BusFrameDelta     BusFrameKind = 2 // with the records of the engines that changed
)

// BusFrame encodes a frame: the length of the rest, the number of an event, the kind and the records.
func BusFrame(event uint64, kind BusFrameKind, records []byte) []byte {
	body := append(binary.BigEndian.AppendUint64(nil, event), byte(kind))
	body = append(body, records...)
	return append(binary.BigEndian.AppendUint32(nil, uint32(len(body))), body...)
}

// ServeEventBus serves an event bus on a listener until the listener is closed. The bus sends only
// heartbeats and publishes no events. lastEvent is the event number in the heartbeats.
func ServeEventBus(listener net.Listener, lastEvent uint64) {
	serveConnections(listener, func(conn net.Conn) {
		if _, err := conn.Read(make([]byte, BusSubscriptionLength)); err != nil {
			return
		}
		heartbeat := BusFrame(lastEvent, BusFrameHeartbeat, nil)
		for {
			if _, err := conn.Write(heartbeat); err != nil {
				return
			}
			time.Sleep(BusHeartbeatInterval)
		}
	})
}
