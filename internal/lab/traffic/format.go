// Package traffic stores recorded traffic: statements with their values, hints and true
// class and cost, each with its arrival time. Generate writes a file, and a Reader reads it.
//
// A file consists of "RWTRAFF", a version byte and blocks. A block has a header and a zstd frame of CBOR
// items: one Head in the first block, Records in the others. The header contains the length of the frame,
// the xxhash of the frame and the number of records in the frame (4, 8 and 4 bytes, big-endian).
//
// The last block of a file has the length 0 and no frame. Its header contains the number of all records in
// place of the hash. A file without this block is truncated. Reader returns the complete records of such a file,
// and then reports the error.
package traffic

import (
	"encoding/binary"
	"errors"
)

// formatVersion is the version of new files, and the only version that Reader accepts.
const formatVersion = 1

const magic = "RWTRAFF"

// Errors in the content of a file.
var (
	ErrTruncated = errors.New("the file is truncated")
	ErrDamaged   = errors.New("the file is damaged")
	ErrForeign   = errors.New("not a traffic file")
	ErrVersion   = errors.New("the version of the file is not supported")
)

// Limits of a block, in bytes. They protect against damaged headers that announce excessively large blocks.
const (
	maxCompressedBlock = 16 << 20
	maxPlainBlock      = 64 << 20
)

// Head describes how the traffic was generated.
type Head struct {
	Seed          uint64  `cbor:"1,keyasint"`
	ModelOptions  string  `cbor:"2,keyasint"` // the options of the workload, as text
	RatePerSecond float64 `cbor:"3,keyasint"` // nominal rate; see Season
	Arrivals      string  `cbor:"4,keyasint"` // the arrival process: poisson, bursts or season
	Records       int     `cbor:"5,keyasint"` // number of records
}

// Record is one statement with its arrival time, hints, true class and true cost.
type Record struct {
	ArrivalMicros int64    `cbor:"1,keyasint"` // microseconds from the start
	Statement     string   `cbor:"2,keyasint"`
	Values        [][]byte `cbor:"3,keyasint,omitempty"`
	Formats       []byte   `cbor:"4,keyasint,omitempty"`
	Types         []byte   `cbor:"5,keyasint,omitempty"`
	HintWorkMS    float64  `cbor:"6,keyasint,omitempty"` // ms on one core; 0: no hint
	HintMB        float64  `cbor:"7,keyasint,omitempty"`
	Key           int      `cbor:"8,keyasint,omitempty"` // number, from 1, of the idempotency key's value; 0: none

	// The true class and cost of the statement, for the evaluation.

	Class    string  `cbor:"20,keyasint"`
	HardCase string  `cbor:"21,keyasint,omitempty"` // why the class is hard to determine; "": not a hard case
	Template int     `cbor:"22,keyasint"`
	WorkMS   float64 `cbor:"23,keyasint"` // ms on one core
	MemoryMB float64 `cbor:"24,keyasint"`
	Weight   float64 `cbor:"25,keyasint"` // priority weight
}

// blockHeader precedes the frame of each block.
type blockHeader struct {
	length   uint32 // of the frame, in bytes; 0 at the end of the file
	checksum uint64 // of the frame; at the end of the file, the number of all records
	records  uint32 // in the frame
}

// Layout of an encoded blockHeader.
const (
	checksumOffset    = 4
	recordsOffset     = 12
	blockHeaderLength = 16
)

// put encodes the header into the first bytes of a block.
func (h blockHeader) put(block []byte) {
	binary.BigEndian.PutUint32(block, h.length)
	binary.BigEndian.PutUint64(block[checksumOffset:], h.checksum)
	binary.BigEndian.PutUint32(block[recordsOffset:], h.records)
}

func parseBlockHeader(b []byte) blockHeader {
	return blockHeader{
		length:   binary.BigEndian.Uint32(b),
		checksum: binary.BigEndian.Uint64(b[checksumOffset:]),
		records:  binary.BigEndian.Uint32(b[recordsOffset:]),
	}
}
