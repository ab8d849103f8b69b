package traffic

import (
	"bytes"
	"fmt"
	"io"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
	"github.com/klauspost/compress/zstd"
)

// Limits of a CBOR item.
const (
	maxNesting       = 4
	maxArrayElements = 1 << 17
	maxMapPairs      = 64
)

// Reader reads a file block by block. It is not safe for concurrent use, and must be closed.
type Reader struct {
	Head Head

	in           io.Reader
	decompressor *zstd.Decoder
	decoding     cbor.DecMode
	items        *cbor.Decoder // of the current block
	blockRecords uint32        // number of unread records in the current block
	records      uint64        // number of records read so far
	ended        bool          // the block that ends the file was read
}

// NewReader reads the head of a file and returns a Reader for the records.
func NewReader(in io.Reader) (*Reader, error) {
	if err := readMagic(in); err != nil {
		return nil, err
	}
	decompressor, err := zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxMemory(maxPlainBlock))
	if err != nil {
		return nil, fmt.Errorf("traffic: %w", err)
	}
	limits := cbor.DecOptions{MaxNestedLevels: maxNesting, MaxArrayElements: maxArrayElements, MaxMapPairs: maxMapPairs}
	decoding, err := limits.DecMode()
	if err != nil {
		return nil, fmt.Errorf("traffic: %w", err)
	}
	r := &Reader{in: in, decompressor: decompressor, decoding: decoding}
	if err := r.readBlock(); err != nil {
		return nil, err
	}
	if err := r.items.Decode(&r.Head); err != nil {
		return nil, damagedBy("its head", err)
	}
	return r, nil
}

// readMagic reads and checks the magic bytes and the version, which precede the first block.
func readMagic(in io.Reader) error {
	start := make([]byte, len(magic)+1)
	if _, err := io.ReadFull(in, start); err != nil || string(start[:len(magic)]) != magic {
		return ErrForeign
	}
	if version := start[len(magic)]; version != formatVersion {
		return fmt.Errorf("%w: found %d, want %d", ErrVersion, version, formatVersion)
	}
	return nil
}

// readBlock reads the next block. It returns io.EOF after the last one.
func (r *Reader) readBlock() error {
	encoded := make([]byte, blockHeaderLength)
	if _, err := io.ReadFull(r.in, encoded); err != nil {
		return fmt.Errorf("%w after %d records", ErrTruncated, r.records)
	}
	header := parseBlockHeader(encoded)
	r.blockRecords = header.records
	if header.length == 0 {
		return r.readEnd(header)
	}
	if header.length > maxCompressedBlock {
		return fmt.Errorf("%w: a block of %d bytes after %d records", ErrDamaged, header.length, r.records)
	}
	compressed := make([]byte, header.length)
	if _, err := io.ReadFull(r.in, compressed); err != nil {
		return fmt.Errorf("%w after %d records", ErrTruncated, r.records)
	}
	if xxhash.Sum64(compressed) != header.checksum {
		return fmt.Errorf("%w: checksum mismatch in a block after %d records", ErrDamaged, r.records)
	}
	plain, err := r.decompressor.DecodeAll(compressed, nil)
	if err != nil {
		return damagedBy(fmt.Sprintf("a block after %d records", r.records), err)
	}
	r.items = r.decoding.NewDecoder(bytes.NewReader(plain))
	return nil
}

// readEnd checks the block that ends the file. It returns io.EOF if the block is correct.
func (r *Reader) readEnd(header blockHeader) error {
	if header.checksum != r.records || header.records != 0 {
		return fmt.Errorf("%w: want %d records, found %d", ErrDamaged, header.checksum, r.records)
	}
	r.ended = true
	return io.EOF
}

// damagedBy returns an ErrDamaged that names the damaged part. It does not wrap the cause, because callers
// would take an io.EOF in the chain for the end of a complete file.
func damagedBy(part string, cause error) error {
	return fmt.Errorf("%w: %s: %s", ErrDamaged, part, cause.Error())
}

// Next reads a record. It returns io.EOF after the last one.
func (r *Reader) Next(record *Record) error {
	if r.ended {
		return io.EOF
	}
	for r.blockRecords == 0 {
		if err := r.readBlock(); err != nil {
			return err
		}
	}
	*record = Record{}
	if err := r.items.Decode(record); err != nil {
		return damagedBy(fmt.Sprintf("record %d", r.records), err)
	}
	r.blockRecords--
	r.records++
	return nil
}

// Close releases the resources of the Reader. It does not close the underlying reader.
func (r *Reader) Close() { r.decompressor.Close() }
