package stmtstats

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"io"

	"flaxrelay/internal/decision/costmodel"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
	"github.com/klauspost/compress/zstd"
)

// The stored form of a snapshot is a header and a body. All integers are big-endian.
//
//	offset  size  field
//	0       8     magic "RWSHAPES"
//	8       4     version
//	12      8     length of the body
//	20      8     xxhash of the body
//	28            body: a zstd frame of one CBOR item
const (
	snapshotMagic   = "RWSHAPES"
	snapshotVersion = 1

	versionSize  = 4
	lengthSize   = 8
	checksumSize = 8

	versionOffset      = len(snapshotMagic)
	lengthOffset       = versionOffset + versionSize
	checksumOffset     = lengthOffset + lengthSize
	snapshotHeaderSize = checksumOffset + checksumSize
)

// maxSnapshotBytes is the maximum size of the decompressed item. It protects against files that decompress
// to more than any snapshot contains.
const maxSnapshotBytes = 256 << 20

// Limits of the CBOR item. They protect against deeper nesting and greater lengths than any snapshot has.
const (
	maxSnapshotNesting  = 16
	maxSnapshotElements = 1 << 20
	maxSnapshotPairs    = 1 << 10
)

// encode returns the stored form of the snapshot.
func (s *Snapshot) encode() ([]byte, error) {
	item, err := cbor.Marshal(s)
	if err != nil {
		return nil, fmt.Errorf("snapshot: %w", err)
	}
	encoder, err := zstd.NewWriter(nil, zstd.WithEncoderConcurrency(1))
	if err != nil {
		return nil, fmt.Errorf("snapshot: %w", err)
	}
	encoded := encoder.EncodeAll(item, make([]byte, snapshotHeaderSize))
	if err := encoder.Close(); err != nil {
		return nil, fmt.Errorf("snapshot: %w", err)
	}
	body := encoded[snapshotHeaderSize:]
	copy(encoded, snapshotMagic)
	binary.BigEndian.PutUint32(encoded[versionOffset:], snapshotVersion)
	binary.BigEndian.PutUint64(encoded[lengthOffset:], uint64(len(body)))
	binary.BigEndian.PutUint64(encoded[checksumOffset:], xxhash.Sum64(body))
	return encoded, nil
}

// decodeSnapshot parses the stored form of a snapshot. Its errors wrap
// ErrSnapshotForeign, ErrSnapshotVersion, ErrSnapshotTruncated or ErrSnapshotDamaged.
func decodeSnapshot(encoded []byte) (*Snapshot, error) {
	body, err := verifiedBody(encoded)
	if err != nil {
		return nil, err
	}
	item, err := decompress(body)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrSnapshotDamaged, err)
	}
	snapshot, err := unmarshalSnapshot(item)
	if err != nil {
		return nil, err
	}
	if err := snapshot.check(); err != nil {
		return nil, err
	}
	return snapshot, nil
}

// verifiedBody returns the body after checking the header, the body's length and its checksum.
func verifiedBody(encoded []byte) ([]byte, error) {
	if !bytes.HasPrefix(encoded, []byte(snapshotMagic)) {
		return nil, ErrSnapshotForeign
	}
	if len(encoded) < snapshotHeaderSize {
		return nil, ErrSnapshotTruncated
	}
	if version := binary.BigEndian.Uint32(encoded[versionOffset:]); version != snapshotVersion {
		return nil, fmt.Errorf("%w: version %d, want %d", ErrSnapshotVersion, version, snapshotVersion)
	}
	body := encoded[snapshotHeaderSize:]
	actual := uint64(len(body))
	stated := binary.BigEndian.Uint64(encoded[lengthOffset:])
	switch {
	case actual < stated:
		return nil, fmt.Errorf("%w: %d of %d bytes", ErrSnapshotTruncated, actual, stated)
	case actual > stated:
		return nil, fmt.Errorf("%w: %d bytes, but its header states %d", ErrSnapshotDamaged, actual, stated)
	case xxhash.Sum64(body) != binary.BigEndian.Uint64(encoded[checksumOffset:]):
		return nil, fmt.Errorf("%w: checksum mismatch", ErrSnapshotDamaged)
	}
	return body, nil
}

// decompress returns the CBOR item of a body.
func decompress(body []byte) ([]byte, error) {
	decoder, err := zstd.NewReader(
		bytes.NewReader(body), zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxMemory(maxSnapshotBytes))
	if err != nil {
		return nil, fmt.Errorf("decompress: %w", err)
	}
	defer decoder.Close()
	item, err := io.ReadAll(io.LimitReader(decoder, maxSnapshotBytes))
	if err != nil {
		return nil, fmt.Errorf("decompress: %w", err)
	}
	return item, nil
}

// unmarshalSnapshot decodes a CBOR item.
func unmarshalSnapshot(item []byte) (*Snapshot, error) {
	mode, err := cbor.DecOptions{
		MaxNestedLevels:  maxSnapshotNesting,
		MaxArrayElements: maxSnapshotElements,
		MaxMapPairs:      maxSnapshotPairs,
	}.DecMode()
	if err != nil {
		return nil, fmt.Errorf("snapshot: %w", err)
	}
	snapshot := &Snapshot{}
	if err := mode.Unmarshal(item, snapshot); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrSnapshotDamaged, err)
	}
	return snapshot, nil
}

// check returns an error if the snapshot has another layout, lacks the state of the model or contains a shape with
// an invalid number. The numbers in the state of the model are checked by costmodel.Restore.
func (s *Snapshot) check() error {
	if s.Layout != costmodel.Layout {
		return fmt.Errorf("%w: layout %d, want %d", ErrSnapshotVersion, s.Layout, costmodel.Layout)
	}
	if s.Model == nil {
		return fmt.Errorf("%w: the state of the model is missing", ErrSnapshotDamaged)
	}
	for i := range s.Shapes {
		if err := s.Shapes[i].Record.Check(); err != nil {
			return fmt.Errorf("%w: shape %d: %w", ErrSnapshotDamaged, i, err)
		}
	}
	return nil
}
