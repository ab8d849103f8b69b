package traffic

import (
	"bytes"
	"errors"
	"io"
	"testing"

	"flaxrelay/internal/lab/workload"

	"github.com/google/go-cmp/cmp"
)

// generate returns a file of seed 7.
func generate(tb testing.TB, process ArrivalProcess, number int) []byte {
	tb.Helper()
	var b bytes.Buffer
	if err := Generate(&b, workload.Defaults(7), number, 99, process, nil); err != nil {
		tb.Fatal(err)
	}
	return b.Bytes()
}

// read returns the records of a file, and the error that ended the reading.
func read(b []byte) (records []Record, err error) {
	reader, err := NewReader(bytes.NewReader(b))
	if err != nil {
		return nil, err
	}
	defer reader.Close()
	for {
		var record Record
		if err := reader.Next(&record); err != nil {
			return records, err
		}
		records = append(records, record)
	}
}

// The same seed gives the same bytes, and the records that are read equal those that were written.
func TestGenerate_SameSeedGivesTheSameFileAndItsRecords(t *testing.T) {
	for _, process := range []ArrivalProcess{Poisson, Bursts, Season} {
		file := generate(t, process, 3000)
		if !bytes.Equal(file, generate(t, process, 3000)) {
			t.Errorf("%s: the same seed gave two different files", process)
		}
		records, err := read(file)
		if !errors.Is(err, io.EOF) || len(records) != 3000 {
			t.Fatalf("%s: %d records, %v", process, len(records), err)
		}
		generator := workload.New(workload.Defaults(7), 3000)
		last := int64(0)
		for i := range records {
			want := RecordOf(generator.Next())
			want.ArrivalMicros = records[i].ArrivalMicros
			if diff := cmp.Diff(want, records[i]); diff != "" {
				t.Fatalf("%s: record %d:\n%s", process, i, diff)
			}
			if records[i].ArrivalMicros < last {
				t.Fatalf("%s: record %d goes back in time", process, i)
			}
			last = records[i].ArrivalMicros
		}
		if rate := 3000 / (float64(last) / 1e6); rate < 40 || rate > 250 {
			t.Errorf("%s: %.0f statements per second, want about 99", process, rate)
		}
	}
}

// A truncated file is reported as truncated after its complete records, and a changed file as damaged.
// Files of another kind or version are reported as such.
func TestReader_DistinguishesTruncatedDamagedAndForeignFiles(t *testing.T) {
	good := generate(t, Poisson, 4000)
	for _, n := range []int{len(good) - 1, len(good) - 20, len(good) / 2, 40, 9} {
		all, err := read(good[:n])
		if !errors.Is(err, ErrTruncated) || len(all) >= 4000 && n < len(good)-blockHeaderLength {
			t.Errorf("cut at %d of %d: %d records, %v", n, len(good), len(all), err)
		}
	}
	for _, n := range []int{30, len(good) / 3, len(good) - 3} {
		bad := bytes.Clone(good)
		bad[n] ^= 1
		if _, err := read(bad); !errors.Is(err, ErrDamaged) {
			t.Errorf("byte %d changed: %v", n, err)
		}
	}
	bad := bytes.Clone(good)
	bad[len(magic)] = 9
	if _, err := read(bad); !errors.Is(err, ErrVersion) {
		t.Errorf("another version: %v", err)
	}
	if _, err := read([]byte("something else")); !errors.Is(err, ErrForeign) {
		t.Errorf("another kind: %v", err)
	}
}

// Reading terminates with an error for any input: io.EOF after a complete file, or the error in the file.
func FuzzReader_AlwaysTerminates(f *testing.F) {
	f.Add(generate(f, Poisson, 20))
	f.Add([]byte("RWTRAFF\x01"))
	f.Fuzz(func(t *testing.T, b []byte) {
		if _, err := read(b); err == nil {
			t.Fatal("reading ended without an error")
		}
	})
}
