package stmtstats

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"os"
	"reflect"
	"strings"
	"testing"

	"flaxrelay/internal/decision/costmodel"
	"flaxrelay/internal/golden"
	"flaxrelay/internal/lab/traffic"
	"flaxrelay/internal/sqltext"

	"github.com/fxamacker/cbor/v2"
	"github.com/klauspost/compress/zstd"
)

const (
	storedSnapshot = "testdata/learned.shapes" // must not be regenerated
	storedGolden   = "testdata/learned.golden"
	storedProbes   = "../lab/traffic/testdata/season-seed7-100.traffic"
)

// describeEstimate formats every number of an estimate to its last digit.
func describeEstimate(e costmodel.Estimate) string {
	var b strings.Builder
	fmt.Fprintf(&b, "known=%v work=%v spread=%v memory-mb=%v class=%d",
		e.Known, e.WorkMillis, e.SpreadFactor, e.MemoryMB, e.Class)
	for _, component := range []costmodel.Component{e.Record, e.Similar, e.Prior, e.Hint, e.FrequentValue} {
		fmt.Fprintf(&b, " [%v %v %v %v]", component.Log2Cost, component.Deviation, component.Samples, component.Weight)
	}
	return b.String()
}

// probes returns the statements whose estimates are compared with the golden file.
func probes(t *testing.T) (all []traffic.Record) {
	t.Helper()
	raw, err := os.ReadFile(storedProbes)
	if err != nil {
		t.Fatal(err)
	}
	reader, err := traffic.NewReader(bytes.NewReader(raw))
	if err != nil {
		t.Fatal(err)
	}
	defer reader.Close()
	for {
		var record traffic.Record
		err := reader.Next(&record)
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			t.Fatal(err)
		}
		all = append(all, record)
	}
	for _, value := range []string{"hot", "cold", "never-seen"} {
		statement := "SELECT a FROM stock_1.parts WHERE part = '" + value + "'"
		all = append(all, traffic.Record{Statement: statement})
	}
	return all
}

// A snapshot that an earlier version stored gives the same estimates as in that version, to the last digit.
func TestStoredSnapshot_KeepsEstimates(t *testing.T) {
	snapshot, err := ReadSnapshot(storedSnapshot)
	if err != nil {
		t.Fatal(err)
	}
	store, err := Restore(twoClassOptions(), snapshot)
	if err != nil {
		t.Fatal(err)
	}
	var out strings.Builder
	fmt.Fprintf(&out, "layout=%d keys=%x shapes=%d cut=%d held=%d\n",
		snapshot.Layout, snapshot.HashSeed, len(snapshot.Shapes), snapshot.Truncated, store.Len())
	for i, record := range probes(t) {
		binds := &sqltext.Binds{Values: record.Values, Formats: record.Formats, TypeOIDs: record.Types}
		hint := Hint{WorkMillis: record.HintWorkMS, MemoryMB: record.HintMB}
		execution := store.Estimate(store.Parse(record.Statement), binds, costmodel.NoClass, hint)
		fmt.Fprintf(&out, "%d held=%v %s\n", i, execution.cached != nil, describeEstimate(execution.Estimate))
	}
	golden.Compare(t, storedGolden, []byte(out.String()))
}

// cborItem decodes the CBOR item of an encoded snapshot without the types of this package.
func cborItem(t *testing.T, encoded []byte) (item any) {
	t.Helper()
	decoder, err := zstd.NewReader(nil)
	if err != nil {
		t.Fatal(err)
	}
	defer decoder.Close()
	decompressed, err := decoder.DecodeAll(encoded[snapshotHeaderSize:], nil)
	if err != nil {
		t.Fatal(err)
	}
	if err := cbor.Unmarshal(decompressed, &item); err != nil {
		t.Fatal(err)
	}
	return item
}

// A stored snapshot that is decoded and encoded again gives the same CBOR item. A changed field name would change
// the item.
func TestStoredSnapshot_KeepsFieldNames(t *testing.T) {
	stored, err := os.ReadFile(storedSnapshot)
	if err != nil {
		t.Fatal(err)
	}
	snapshot, err := decodeSnapshot(stored)
	if err != nil {
		t.Fatal(err)
	}
	encoded, err := snapshot.encode()
	if err != nil {
		t.Fatal(err)
	}
	if !reflect.DeepEqual(cborItem(t, stored), cborItem(t, encoded)) {
		t.Error("encoding the decoded snapshot gives another item")
	}
}
