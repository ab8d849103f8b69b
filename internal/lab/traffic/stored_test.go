package traffic

import (
	"bytes"
	"crypto/sha256"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"os"
	"strings"
	"testing"

	"flaxrelay/internal/golden"
	"flaxrelay/internal/lab/workload"

	"github.com/klauspost/compress/zstd"
)

const (
	storedFile   = "testdata/season-seed7-100.traffic" // from an earlier version; must not be regenerated
	storedGolden = "testdata/season-seed7-100.golden"
)

// describe formats every field of a file, floats with full precision.
func describe(h Head, records []Record) string {
	var b strings.Builder
	fmt.Fprintf(&b, "seed=%d rate=%v comes=%s number=%d model=%s\n",
		h.Seed, h.RatePerSecond, h.Arrivals, h.Records, h.ModelOptions)
	for _, r := range records {
		fmt.Fprintf(&b, "at=%d statement=%q values=%q formats=%x types=%x ",
			r.ArrivalMicros, r.Statement, r.Values, r.Formats, r.Types)
		fmt.Fprintf(&b, "hint-work=%v hint-mb=%v key=%d class=%s hard=%q template=%d work=%v memory-mb=%v worth=%v\n",
			r.HintWorkMS, r.HintMB, r.Key, r.Class, r.HardCase, r.Template, r.WorkMS, r.MemoryMB, r.Weight)
	}
	return b.String()
}

// A traffic file of an earlier version is read with all of its fields.
func TestReader_ReadsAFileOfAnEarlierVersion(t *testing.T) {
	raw, err := os.ReadFile(storedFile)
	if err != nil {
		t.Fatal(err)
	}
	records, err := read(raw)
	if !errors.Is(err, io.EOF) || len(records) != 100 {
		t.Fatalf("%d records, %v", len(records), err)
	}
	reader, err := NewReader(bytes.NewReader(raw))
	if err != nil {
		t.Fatal(err)
	}
	defer reader.Close()
	got := describe(reader.Head, records)
	golden.Compare(t, storedGolden, []byte(got))
}

// items returns the bytes of the CBOR items of all blocks.
func items(t *testing.T, file []byte) (decoded []byte) {
	t.Helper()
	decompressor, err := zstd.NewReader(nil)
	if err != nil {
		t.Fatal(err)
	}
	defer decompressor.Close()
	for rest := file[len(magic)+1:]; ; {
		length := binary.BigEndian.Uint32(rest)
		if length == 0 {
			return decoded
		}
		end := blockHeaderLength + int(length)
		if decoded, err = decompressor.DecodeAll(rest[blockHeaderLength:end], decoded); err != nil {
			t.Fatal(err)
		}
		rest = rest[end:]
	}
}

// For the same seed, the items are byte-identical to those of an earlier version: the keys of records and
// the text of the head are part of the format.
func TestGenerate_WritesTheSameItemsAsAnEarlierVersion(t *testing.T) {
	want, err := os.ReadFile(storedFile)
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(items(t, want), items(t, generate(t, Season, 100))) {
		t.Error("the items differ from those of the stored file")
	}
}

// The generated traffic is byte-identical to that of an earlier version, for every family of statements. The
// digests are of the items for three seeds.
func TestGenerate_KeepsItsDigests(t *testing.T) {
	const records, rate = 5000, 99
	for seed, want := range map[uint64]string{
		1: "886ee5a4e687b6780947e4eb5e5c6e8bc883ace0fe455a42b08ee585e6101f7c",
		2: "7c85933adcb97a36ff1d9152e3f8333bd481a21720b2ae5dea97c4d405ad034f",
		3: "1bb2e36e487553330abff6cb76e6c4d6170bdee084aa39088e7999cd4699e6dd",
	} {
		var file bytes.Buffer
		if err := Generate(&file, workload.Defaults(seed), records, rate, Season, nil); err != nil {
			t.Fatal(err)
		}
		if got := fmt.Sprintf("%x", sha256.Sum256(items(t, file.Bytes()))); got != want {
			t.Errorf("seed %d: digest %s, want %s", seed, got, want)
		}
	}
}
