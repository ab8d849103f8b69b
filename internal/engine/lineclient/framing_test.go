package lineclient

import (
	"testing"

	"flaxrelay/policy"
)

// Whatever an engine sends, an answer lies within it.
func FuzzParse(f *testing.F) {
	f.Add([]byte("9b1f DONE batches=2,cpu=1.5,gauges=util:0.5;x 3\r\na\tb\r\n"))
	f.Fuzz(func(t *testing.T, b []byte) {
		a, n, err := parseResponse(b)
		if n > len(b) || len(a.body) > n || err != nil && n != 0 {
			t.Fatalf("%d of %d bytes, body %d, %v", n, len(b), len(a.body), err)
		}
		a.fields.loadReport()
		a.fields.progress()
	})
}

// Each note of a TELL has its own meaning to the decisions; what is no note has none.
func TestNotesByTheirFields(t *testing.T) {
	for fields, want := range map[string]struct {
		kind  policy.ProgressKind
		value float64
		ok    bool
	}{
		"res=p,num=0.5": {policy.ProgressFraction, 0.5, true},
		"res=s,num=64":  {policy.ProgressSpilling, 64, true},
		"res=w,num=1":   {policy.ProgressAwaitingMemory, 1, true},
		"res=w,num=2":   {policy.ProgressAwaitingLoad, 2, true},
		"res=?,num=1":   {},
		"res=p":         {},
		"num=1":         {},
		"-":             {},
	} {
		kind, value, ok := fieldList(fields).progress()
		if kind != want.kind || value != want.value || ok != want.ok {
			t.Errorf("%s: read %v %v %v, want %v", fields, kind, value, ok, want)
		}
	}
}
