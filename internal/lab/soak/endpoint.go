package soak

import (
	"encoding/binary"
	"fmt"
	"net/netip"

	"flaxrelay/internal/lab/fake"
)

// engineState is the state of an engine on the bus. The values are the numbers in the events of the bus.
type engineState byte

const (
	stateReady engineState = iota
	stateDraining
	stateRemoved
)

// stateNames are the names of the states in a configuration.
var stateNames = [...]string{
	stateReady:    "in_service",
	stateDraining: "terminating",
	stateRemoved:  "terminated",
}

// endpoint is an engine in the endpoint list.
type endpoint struct {
	id     uint32
	addr   netip.AddrPort
	state  engineState
	bootMS int64 // start by the engine's clock, in Unix milliseconds; 0: it started long ago
}

func (e *endpoint) name() string { return fmt.Sprintf("s-%08x", e.id) }

// target returns the endpoint in the format of a configuration.
func (e *endpoint) target() fake.Target {
	return fake.Target{
		UID: e.name(), Endpoint: e.addr.String(), AZ: engineZone, Model: engineKind, State: stateNames[e.state],
		CapacityHint: 1, BootMS: e.bootMS,
	}
}

// record returns the endpoint in the format of an event of the bus.
func (e *endpoint) record() []byte {
	const (
		zoneIndex    = 0 // of engineZone in the settings
		kindIndex    = 0 // of engineKind in the settings
		cell         = 0
		capacityHint = 1000 // thousandths
	)
	ip := e.addr.Addr().As4()
	record := binary.BigEndian.AppendUint32(nil, e.id)
	record = append(record, ip[:]...)
	record = binary.BigEndian.AppendUint16(record, e.addr.Port())
	record = append(record, byte(e.state), zoneIndex, kindIndex)
	record = binary.BigEndian.AppendUint16(record, cell)
	record = binary.BigEndian.AppendUint32(record, capacityHint)
	return binary.BigEndian.AppendUint64(record, uint64(e.bootMS))
}
