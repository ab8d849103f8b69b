package traffic

import (
	"bytes"
	"encoding/binary"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/klauspost/compress/zstd"
)

var update = flag.Bool("update", false, "write the golden texts anew; the traffic file is never written")

const (
	storedFile   = "testdata/season-seed7-100.traffic"
	storedGolden = "testdata/season-seed7-100.golden"
)

// describe writes every field of a file, floats to their last digit.
func describe(h Head, records []Record) string {
	var b strings.Builder
	fmt.Fprintf(&b, "seed=%d rate=%v comes=%s number=%d model=%s\n", h.Seed, h.Rate, h.Comes, h.Number, h.Model)
	for _, r := range records {
		fmt.Fprintf(&b, "at=%d statement=%q values=%q formats=%x types=%x hint-work=%v hint-mb=%v key=%d class=%s hard=%q template=%d work=%v memory-mb=%v worth=%v\n",
			r.At, r.Statement, r.Values, r.Formats, r.Types, r.HintWork, r.HintMB, r.Key, r.Class, r.Hard, r.Template, r.Work, r.MemoryMB, r.Worth)
	}
	return b.String()
}

// A traffic file that an earlier version wrote is read as it was meant, field by field.
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
	if *update {
		if err := os.WriteFile(storedGolden, []byte(got), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(storedGolden)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(string(want), got); diff != "" {
		t.Error(diff)
	}
}

// items are the CBOR items of all blocks, as bytes.
func items(t *testing.T, file []byte) (all []byte) {
	t.Helper()
	dec, err := zstd.NewReader(nil)
	if err != nil {
		t.Fatal(err)
	}
	defer dec.Close()
	for rest := file[len(magic)+1:]; ; {
		length := binary.BigEndian.Uint32(rest)
		if length == 0 {
			return all
		}
		end := blockHeaderLength + int(length)
		if all, err = dec.DecodeAll(rest[blockHeaderLength:end], all); err != nil {
			t.Fatal(err)
		}
		rest = rest[end:]
	}
}

// The same seed gives the items that an earlier version wrote, to the byte: the keys of
// records and the words of the head are part of the format.
func TestGenerate_WritesTheItemsOfAnEarlierVersion(t *testing.T) {
	want, err := os.ReadFile(storedFile)
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(items(t, want), items(t, generate(t, Season, 100))) {
		t.Error("the generator writes other items than it did")
	}
}
