package traffic

import (
	"bytes"
	"fmt"
	"io"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
	"github.com/klauspost/compress/zstd"
)

// flushSize is the size of the uncompressed items, in bytes, at which a block is written.
const flushSize = 512 << 10

// writer writes a file. close must be called: without the last block, the file counts as truncated. A writer is
// not safe for concurrent use.
type writer struct {
	out          io.Writer
	compressor   *zstd.Encoder
	block        bytes.Buffer // the items of the current block
	blockRecords uint32       // number of records in the current block
	records      uint64       // number of records in all blocks
}

// newWriter starts a file with its head.
func newWriter(out io.Writer, head Head) (*writer, error) {
	compressor, err := zstd.NewWriter(nil, zstd.WithEncoderConcurrency(1))
	if err != nil {
		return nil, fmt.Errorf("traffic: %w", err)
	}
	w := &writer{out: out, compressor: compressor}
	if _, err := out.Write(append([]byte(magic), formatVersion)); err != nil {
		return nil, fmt.Errorf("traffic: %w", err)
	}
	if err := w.addItem(head); err != nil {
		return nil, err
	}
	return w, w.flush()
}

func (w *writer) addItem(item any) error {
	encoded, err := cbor.Marshal(item)
	if err != nil {
		return fmt.Errorf("traffic: %w", err)
	}
	w.block.Write(encoded)
	return nil
}

// add adds a record, and writes the current block once it has reached flushSize.
func (w *writer) add(record *Record) error {
	if err := w.addItem(record); err != nil {
		return err
	}
	w.blockRecords++
	w.records++
	if w.block.Len() >= flushSize {
		return w.flush()
	}
	return nil
}

// flush writes the current block, unless it is empty.
func (w *writer) flush() error {
	if w.block.Len() == 0 {
		return nil
	}
	block := w.compressor.EncodeAll(w.block.Bytes(), make([]byte, blockHeaderLength))
	compressed := block[blockHeaderLength:]
	header := blockHeader{length: uint32(len(compressed)), checksum: xxhash.Sum64(compressed), records: w.blockRecords}
	header.put(block)
	w.block.Reset()
	w.blockRecords = 0
	if _, err := w.out.Write(block); err != nil {
		return fmt.Errorf("traffic: %w", err)
	}
	return nil
}

// close writes the block that ends the file. It does not close the underlying writer.
func (w *writer) close() error {
	if err := w.flush(); err != nil {
		return err
	}
	end := make([]byte, blockHeaderLength)
	blockHeader{checksum: w.records}.put(end)
	if _, err := w.out.Write(end); err != nil {
		return fmt.Errorf("traffic: %w", err)
	}
	if err := w.compressor.Close(); err != nil {
		return fmt.Errorf("traffic: %w", err)
	}
	return nil
}
