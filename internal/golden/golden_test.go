package golden

import (
	"fmt"
	"os"
	"path/filepath"
	"runtime"
	"strings"
	"testing"
)

// recorder is a testing.TB that records failures and does not fail the test.
type recorder struct {
	testing.TB
	failures []string
}

func (r *recorder) Helper() {}

func (r *recorder) Errorf(format string, args ...any) {
	r.failures = append(r.failures, fmt.Sprintf(format, args...))
}

func (r *recorder) Fatal(args ...any) {
	r.failures = append(r.failures, fmt.Sprint(args...))
	runtime.Goexit()
}

// compare runs Compare with the flag -update set to updates, and returns the failures that it reports.
func compare(t *testing.T, path, got string, updates bool) []string {
	t.Helper()
	before := *update
	*update = updates
	defer func() { *update = before }()
	r := &recorder{TB: t}
	done := make(chan struct{})
	go func() { // Fatal ends its goroutine
		defer close(done)
		Compare(r, path, []byte(got))
	}()
	<-done
	return r.failures
}

func TestCompare_NamesTheFirstDifferingLine(t *testing.T) {
	for name, test := range map[string]struct{ got, want, failure string }{
		"equal":                 {"a\nb\n", "a\nb\n", ""},
		"both empty":            {"", "", ""},
		"different line":        {"a\nx\nc\n", "a\nb\nd\n", "line 2 (6 bytes, want 6)\n got: \"x\\n\"\nwant: \"b\\n\""},
		"extra line":            {"a\nb\n", "a\n", "line 2 (4 bytes, want 2)\n got: \"b\\n\"\nwant: (end of the text)"},
		"missing line":          {"a\n", "a\nb\n", "line 2 (2 bytes, want 4)\n got: (end of the text)\nwant: \"b\\n\""},
		"no last line ending":   {"a\nb", "a\nb\n", "line 2 (3 bytes, want 4)\n got: \"b\"\nwant: \"b\\n\""},
		"different line ending": {"a\r\n", "a\n", "line 1 (3 bytes, want 2)\n got: \"a\\r\\n\"\nwant: \"a\\n\""},
		"invalid UTF-8":         {"\xff", "\xfe", "line 1 (1 bytes, want 1)\n got: \"\\xff\"\nwant: \"\\xfe\""},
		"extra empty line":      {"a\n\n", "a\n", "line 2 (3 bytes, want 2)\n got: \"\\n\"\nwant: (end of the text)"},
	} {
		t.Run(name, func(t *testing.T) {
			path := filepath.Join(t.TempDir(), "golden")
			if err := os.WriteFile(path, []byte(test.want), fileMode); err != nil {
				t.Fatal(err)
			}
			failures := strings.Join(compare(t, path, test.got, false), "; ")
			if (test.failure == "") != (failures == "") || !strings.HasSuffix(failures, test.failure) {
				t.Errorf("got failures %q, want %q", failures, test.failure)
			}
		})
	}
}

func TestCompare_WritesTheFileOnlyWithUpdate(t *testing.T) {
	path := filepath.Join(t.TempDir(), "new", "golden")
	for _, step := range []struct {
		name     string
		updates  bool
		failures int
	}{
		{"missing file", false, 1},
		{"with -update", true, 0},
		{"after -update", false, 0},
	} {
		if failures := compare(t, path, "a\n", step.updates); len(failures) != step.failures {
			t.Errorf("%s: failures %q, want %d", step.name, failures, step.failures)
		}
	}
}
