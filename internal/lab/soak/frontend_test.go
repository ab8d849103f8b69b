package soak

import (
	"bytes"
	"log/slog"
	"os"
	"path/filepath"
	"slices"
	"testing"
	"time"

	"flaxrelay/internal/lab/syscallfault"
	"flaxrelay/internal/logevent"
	"flaxrelay/internal/metrics"
)

// checkLog finds the violations and crashes in the log of a front end.
func TestCheckLog_FindsViolationsAndCrashes(t *testing.T) {
	var event, counts bytes.Buffer
	logevent.InvariantViolated.Log(slog.New(slog.NewJSONHandler(&event, nil)), slog.String("rule", "x"))
	counters := metrics.New()
	counters.Increment(metrics.InvariantsViolated.With("x"))
	counters.Print(&counts)
	for _, c := range []struct {
		line     string
		violated []Rule
	}{
		{`{"msg":"attempt"}`, nil},
		{event.String(), []Rule{RuleInvariant}},
		{counts.String(), []Rule{RuleInvariant}},
		{"panic: runtime error", []Rule{RuleInvariant}},
		{"fatal error: concurrent map writes", []Rule{RuleInvariant}},
		{"WARNING: DATA RACE", []Rule{RuleInvariant}},
	} {
		r := newTestRun("")
		f := r.frontEnds[0]
		f.logPath = filepath.Join(t.TempDir(), "log")
		if err := os.WriteFile(f.logPath, []byte("first line\n"+c.line+"\nlast line\n"), 0o600); err != nil {
			t.Fatal(err)
		}
		f.checkLog()
		if !slices.Equal(violatedRules(r), c.violated) {
			t.Errorf("%s: violated %q, want %q", c.line, violatedRules(r), c.violated)
		}
	}
	r := newTestRun("")
	r.frontEnds[0].logPath = filepath.Join(t.TempDir(), "none")
	r.frontEnds[0].checkLog()
	if !slices.Equal(violatedRules(r), []Rule{RuleProcess}) {
		t.Errorf("without a log: violated %q", violatedRules(r))
	}
}

// A process that ends without having been signalled to exit violates RuleProcess.
func TestWatch_ReportsAnEndWithoutASignal(t *testing.T) {
	for name, c := range map[string]struct {
		signalledAt time.Time
		violated    []Rule
	}{
		"signalled":     {time.Now(), nil},
		"not signalled": {time.Time{}, []Rule{RuleProcess}},
	} {
		t.Run(name, func(t *testing.T) {
			output, err := os.Create(filepath.Join(t.TempDir(), "output"))
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = output.Close() }()
			args := []string{"-test.run=^$"}
			process, err := syscallfault.Start(os.Args[0], args, os.Environ(), output, 1, syscallfault.Faults{})
			if err != nil {
				t.Fatal(err)
			}
			r := newTestRun("")
			f := r.frontEnds[0]
			f.signalledAt = c.signalledAt
			f.watch(process)
			if !slices.Equal(violatedRules(r), c.violated) || f.ready {
				t.Errorf("violated %q, want %q; ready %v", violatedRules(r), c.violated, f.ready)
			}
		})
	}
}

// A kill at either end of the span counts.
func TestKilledWithin_LooksForAKillInTheSpan(t *testing.T) {
	at := time.Now()
	f := &frontEnd{kills: []time.Time{at}}
	for _, c := range []struct {
		from, until time.Time
		want        bool
	}{
		{at, at, true},
		{at.Add(-time.Second), at.Add(-time.Nanosecond), false},
		{at.Add(time.Nanosecond), at.Add(time.Second), false},
	} {
		if got := f.killedWithin(c.from, c.until); got != c.want {
			t.Errorf("killed from %v to %v: %v", c.from.Sub(at), c.until.Sub(at), got)
		}
	}
}

// Clients open new connections for 300 ms after a SIGTERM, and use open connections for 500 ms.
func TestAcceptsRequests_EndsSomeTimeAfterTheSignal(t *testing.T) {
	f := &frontEnd{ready: true}
	now := time.Now()
	for _, c := range []struct {
		since           time.Duration
		acceptsNew      bool
		acceptsRequests bool
	}{
		{0, true, true},
		{299 * time.Millisecond, true, true},
		{300 * time.Millisecond, false, true},
		{499 * time.Millisecond, false, true},
		{500 * time.Millisecond, false, false},
	} {
		f.signalledAt = now.Add(-c.since)
		acceptsNew := f.acceptsNewConnections(now)
		acceptsRequests := f.acceptsRequests(now)
		if acceptsNew != c.acceptsNew || acceptsRequests != c.acceptsRequests {
			t.Errorf("%v after SIGTERM: new %v, open %v", c.since, acceptsNew, acceptsRequests)
		}
	}
	f.signalledAt = time.Time{}
	if !f.acceptsNewConnections(now) || !f.acceptsRequests(now) {
		t.Error("a front end that was not signalled accepts no requests")
	}
	f.ready = false
	if f.acceptsNewConnections(now) || f.acceptsRequests(now) {
		t.Error("a front end that is not ready accepts requests")
	}
}
