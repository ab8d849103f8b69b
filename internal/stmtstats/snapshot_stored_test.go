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
	storedSnapshot = "testdata/learned.shapes" // never written anew
	storedGolden   = "testdata/learned.golden"
	storedProbes   = "../lab/traffic/testdata/season-seed7-100.traffic"
)

// describeEstimate formats every figure of an estimate to its last digit.
func describeEstimate(e costmodel.Estimate) string {
	var b strings.Builder
	fmt.Fprintf(&b, "known=%v work=%v spread=%v memory-mb=%v class=%d", e.Known, e.WorkMillis, e.SpreadFactor, e.MemoryMB, e.Class)
	for _, v := range []costmodel.Component{e.Record, e.Similar, e.Prior, e.Hint, e.FrequentValue} {
		fmt.Fprintf(&b, " [%v %v %v %v]", v.Log2Cost, v.Deviation, v.Samples, v.Weight)
	}
	return b.String()
}

// probes returns the statements whose estimates are compared.
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
		var r traffic.Record
		if err := reader.Next(&r); errors.Is(err, io.EOF) {
			break
		} else if err != nil {
			t.Fatal(err)
		}
		all = append(all, r)
	}
	for _, value := range []string{"hot", "cold", "never-seen"} {
		all = append(all, traffic.Record{Statement: "SELECT a FROM stock_1.parts WHERE part = '" + value + "'"})
	}
	return all
}

// A snapshot written by an earlier version gives the same estimates as then, to the last
// digit.
func TestStoredSnapshotKeepsEstimates(t *testing.T) {
	snap, err := ReadSnapshot(storedSnapshot)
	if err != nil {
		t.Fatal(err)
	}
	store, err := Restore(Options{CostModel: costmodel.Config{Classes: []costmodel.Class{{Name: "lookup", MaxWorkMillis: 800}, {Name: "report"}}}, MaxBytes: 256 << 10}, snap)
	if err != nil {
		t.Fatal(err)
	}
	var out strings.Builder
	fmt.Fprintf(&out, "layout=%d keys=%x shapes=%d cut=%d held=%d\n", snap.Layout, snap.Keys, len(snap.Shapes), snap.Truncated, store.Len())
	for i, r := range probes(t) {
		binds := &sqltext.Binds{Values: r.Values, Formats: r.Formats, TypeOIDs: r.Types}
		x := store.Estimate(store.Parse(r.Statement), binds, costmodel.NoClass, Hint{WorkMillis: r.HintWorkMS, MemoryMB: r.HintMB})
		fmt.Fprintf(&out, "%d held=%v %s\n", i, x.cached != nil, describeEstimate(x.Estimate))
	}
	golden.Compare(t, storedGolden, []byte(out.String()))
}

// cborItem decodes the CBOR item of an encoded snapshot without the types of this package.
func cborItem(t *testing.T, encoded []byte) (v any) {
	t.Helper()
	dec, err := zstd.NewReader(nil)
	if err != nil {
		t.Fatal(err)
	}
	defer dec.Close()
	plain, err := dec.DecodeAll(encoded[snapshotHeaderSize:], nil)
	if err != nil {
		t.Fatal(err)
	}
	if err := cbor.Unmarshal(plain, &v); err != nil {
		t.Fatal(err)
	}
	return v
}

// A stored snapshot that is decoded and encoded again is the same CBOR item: no field name
// has changed, none is missing and none is new.
func TestStoredSnapshotKeepsFieldNames(t *testing.T) {
	raw, err := os.ReadFile(storedSnapshot)
	if err != nil {
		t.Fatal(err)
	}
	snap, err := DecodeSnapshot(raw)
	if err != nil {
		t.Fatal(err)
	}
	again, err := snap.Encode()
	if err != nil {
		t.Fatal(err)
	}
	if !reflect.DeepEqual(cborItem(t, raw), cborItem(t, again)) {
		t.Error("the snapshot written again is another item")
	}
}
