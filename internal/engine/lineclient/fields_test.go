package lineclient

import (
	"testing"

	"flaxrelay/policy"
)

// Each kind of progress report is recognized; fields without a progress report yield no kind.
func TestFieldList_ProgressHasAKindForEachResource(t *testing.T) {
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

// A value that is not a finite number is treated as absent, because the costs of a result are used
// without a further check.
func TestFieldList_NumberAcceptsFiniteValuesOnly(t *testing.T) {
	for fields, want := range map[string]struct {
		number float64
		ok     bool
	}{
		"cpu=12.5":  {12.5, true},
		"cpu=-3":    {-3, true},
		"cpu=NaN":   {},
		"cpu=Inf":   {},
		"cpu=-Inf":  {},
		"cpu=1e999": {},
		"cpu=12ms":  {},
		"used=1":    {},
		"-":         {},
	} {
		number, ok := fieldList(fields).number("cpu")
		if number != want.number || ok != want.ok {
			t.Errorf("%s: read %v %v, want %v %v", fields, number, ok, want.number, want.ok)
		}
	}
}
