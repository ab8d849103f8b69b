package eventbus

import (
	"encoding/binary"
	"errors"
	"fmt"
	"net/netip"

	"flaxrelay/internal/discovery"
	"flaxrelay/internal/lifecycle"
	"flaxrelay/policy"
)

// The layout of a record, which describes one engine, as offsets in bytes. Numbers are big-endian.
// The weight is ignored.
const (
	idOffset        = 0
	ipOffset        = 4
	portOffset      = 8
	stateOffset     = 10
	zoneOffset      = 11
	kindIndexOffset = 12
	cellOffset      = 13
	weightOffset    = 15
	startTimeOffset = weightOffset + 4
	recordSize      = startTimeOffset + 8
)

// Protocol errors in the payload of a frame.
var (
	errPayloadLength = errors.New("payload is not a multiple of the size of a record")
	errUnknownState  = errors.New("unknown engine state")
)

// recordStates maps the numbers in records to the states of engines.
var recordStates = [...]policy.EngineState{policy.EngineReady, policy.EngineDraining, policy.EngineRemoved}

// recordDecoder decodes the records of a payload. Records refer to the names of zones and kinds by
// index.
type recordDecoder struct {
	zones []string
	kinds []string
}

// decode returns the engines of a payload in the order of their records.
func (d *recordDecoder) decode(payload []byte) ([]lifecycle.Endpoint, error) {
	if len(payload)%recordSize != 0 {
		return nil, fmt.Errorf("%w: %d bytes", errPayloadLength, len(payload))
	}
	engines := make([]lifecycle.Endpoint, 0, len(payload)/recordSize)
	for ; len(payload) > 0; payload = payload[recordSize:] {
		engine, err := d.decodeRecord(payload[:recordSize])
		if err != nil {
			return nil, err
		}
		engines = append(engines, engine)
	}
	return engines, nil
}

func (d *recordDecoder) decodeRecord(record []byte) (lifecycle.Endpoint, error) {
	state := int(record[stateOffset])
	if state >= len(recordStates) {
		return lifecycle.Endpoint{}, fmt.Errorf("%w %d", errUnknownState, state)
	}
	ip := netip.AddrFrom4([4]byte(record[ipOffset:portOffset]))
	port := binary.BigEndian.Uint16(record[portOffset:])
	engine := lifecycle.Endpoint{
		Address: netip.AddrPortFrom(ip, port).String(),
		Engine: policy.Engine{
			ID:        fmt.Sprintf("s-%08x", binary.BigEndian.Uint32(record[idOffset:])),
			Zone:      nameAt(d.zones, record[zoneOffset]),
			Kind:      nameAt(d.kinds, record[kindIndexOffset]),
			Cell:      int64(binary.BigEndian.Uint16(record[cellOffset:])),
			CellKnown: true,
			State:     recordStates[state],
		},
	}
	startTime := binary.BigEndian.Uint64(record[startTimeOffset:])
	engine.StartedAt, engine.StartKnown = discovery.StartTime(int64(startTime))
	return engine, nil
}

// nameAt returns the name at the index, or "" if the index is out of range.
func nameAt(names []string, index byte) string {
	if int(index) < len(names) {
		return names[index]
	}
	return ""
}
