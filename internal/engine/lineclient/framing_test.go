package lineclient

import (
	"errors"
	"strings"
	"testing"

	"flaxrelay/policy"
)

// FuzzParseResponse checks that a response lies within the bytes that an engine has sent, and
// that every error wraps errMalformedResponse.
func FuzzParseResponse(f *testing.F) {
	f.Add([]byte("9b1f DONE batches=2,cpu=1.5,gauges=util:0.5;x 3\r\na\tb\r\n"))
	f.Fuzz(func(t *testing.T, b []byte) {
		parsed, length, err := parseResponse(b)
		if length > len(b) || len(parsed.body) > length || err != nil && length != 0 {
			t.Fatalf("%d of %d bytes, body %d, %v", length, len(b), len(parsed.body), err)
		}
		if err != nil && !errors.Is(err, errMalformedResponse) {
			t.Fatalf("%v does not wrap %q", err, errMalformedResponse)
		}
		parsed.fields.loadReport()
		parsed.fields.progress()
	})
}

func TestParseResponse_ReportsWhatIsMalformed(t *testing.T) {
	for name, test := range map[string]struct {
		in   string
		want error
	}{
		"incomplete line":   {"9b1f DONE - ", nil},
		"incomplete body":   {"9b1f DONE - 3\r\na\t", nil},
		"line end":          {"9b1f DONE - 0\n", errLine},
		"empty line":        {"\n", errLine},
		"endless line":      {strings.Repeat("x", maxLineBytes), errLine},
		"three words":       {"9b1f DONE -\r\n", errWords},
		"no id":             {" DONE - 0\r\n", errWords},
		"length no number":  {"9b1f DONE - x\r\n", errLength},
		"length too large":  {"9b1f DONE - 16385\r\n", errLength},
		"body without end":  {"9b1f DONE - 1\r\naxx", errBody},
		"negative length":   {"9b1f DONE - -1\r\n", errLength},
		"body's end is cut": {"9b1f DONE - 1\r\na\r", nil},
	} {
		t.Run(name, func(t *testing.T) {
			_, length, err := parseResponse([]byte(test.in))
			if length != 0 || !errors.Is(err, test.want) {
				t.Errorf("%d bytes and error %v, want %v", length, err, test.want)
			}
		})
	}
}

// Each progress response has a kind of its own; any other response has none.
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

// A value that is not a finite number counts as absent, since the cost figures of a result are
// used without a further check.
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
