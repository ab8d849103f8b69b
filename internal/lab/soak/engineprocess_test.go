package soak

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"flaxrelay/internal/golden"
	"flaxrelay/internal/lab/fake"
	"flaxrelay/internal/lab/faultproxy"
	"flaxrelay/internal/tcptest"
)

// eventLog collects the events of engines.
type eventLog struct {
	mu    sync.Mutex
	lines bytes.Buffer
}

// Write implements io.Writer.
func (l *eventLog) Write(b []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lines.Write(b)
	return len(b), nil
}

// describe returns a text for each event so far, without its time.
func (l *eventLog) describe(t *testing.T) (events []string) {
	t.Helper()
	l.mu.Lock()
	defer l.mu.Unlock()
	for line := range bytes.Lines(l.lines.Bytes()) {
		var e engineEvent
		if err := json.Unmarshal(line, &e); err != nil {
			t.Fatal(err)
		}
		if time.Since(e.At) > time.Minute || time.Until(e.At) > 0 {
			t.Errorf("an event has the time %v", e.At)
		}
		switch e.Kind {
		case eventListening:
			events = append(events, string(e.Kind))
		case eventAttemptBegan:
			remainingMS := e.RemainingTime.Milliseconds()
			events = append(events, fmt.Sprintf("%s: %s %s %d", e.Kind, e.RequestID, e.Class, remainingMS))
		case eventAttemptEnded:
			events = append(events, fmt.Sprintf("%s: %s %s %d", e.Kind, e.RequestID, e.Response, e.WorkTime))
		case eventAttemptCancelled:
			events = append(events, fmt.Sprintf("%s: %s", e.Kind, e.RequestID))
		}
	}
	return events
}

// startTestEngine serves as an engine with the seed and returns the engine's address.
func startTestEngine(t *testing.T, seed uint64, faultyResponseShare float64, events *eventLog) (addr string) {
	t.Helper()
	listener := tcptest.Listen(t, tcptest.AnyLoopbackPort)
	options := engineOptions{Seed: seed, FaultyResponseShare: faultyResponseShare}
	go fake.ServeLineEngine(listener, newEngineProcess(options, events))
	return listener.Addr().String()
}

// exchange sends text to an engine, waits, and returns what the engine has sent by then.
func exchange(t *testing.T, addr, text string, wait time.Duration) string {
	t.Helper()
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		t.Error(err)
		return ""
	}
	defer func() { _ = conn.Close() }()
	if _, err := io.WriteString(conn, text); err != nil {
		t.Error(err)
	}
	_ = conn.SetReadDeadline(time.Now().Add(wait))
	received, _ := io.ReadAll(conn)
	return string(received)
}

// The seed determines every byte of an engine's response to a request, and each attempt is reported.
func TestEngineProcess_RespondsAsItsSeedDecides(t *testing.T) {
	const seeds = 24
	events := &eventLog{}
	var responses [seeds]string
	var done sync.WaitGroup
	for seed := range responses {
		addr := startTestEngine(t, uint64(seed), 0.8, events)
		done.Go(func() {
			request := fmt.Sprintf("want %016x kind=lookup,ms=500 8\r\nSELECT 1\r\n", seed)
			responses[seed] = exchange(t, addr, request, time.Second)
		})
	}
	done.Wait()
	var reported []string
	for deadline := time.Now().Add(10 * time.Second); len(reported) < 2*seeds && time.Now().Before(deadline); {
		time.Sleep(10 * time.Millisecond) // the end of a connection is reported a little later
		reported = events.describe(t)
	}
	slices.Sort(reported)
	var text strings.Builder
	for seed, response := range responses {
		fmt.Fprintf(&text, "seed %d: %q\n", seed, response)
	}
	text.WriteString(strings.Join(reported, "\n") + "\n")
	golden.Compare(t, "testdata/engine-responses.golden", []byte(text.String()))
}

// A cancelled request has no response, and its cancellation is reported once. Pages are served on
// request.
func TestEngineProcess_CancelsAndServesPages(t *testing.T) {
	events := &eventLog{}
	const id = "000000000000000a"
	request := "want " + id + " kind=load,ms=100 8\r\nSELECT 1\r\n"
	cancel := "never_mind " + id + "\r\n"
	turn := "turn " + id + " 1\r\n"
	got := exchange(t, startTestEngine(t, 1, 0, events), request+cancel+cancel+turn, 200*time.Millisecond)
	page := id + "\t1\t2\n"
	if want := fmt.Sprintf("%s MORE batch=1 %d\r\n%s\r\n", id, len(page), page); got != want {
		t.Errorf("received %q, want %q", got, want)
	}
	want := []string{"attempt began: " + id + " load 100", "attempt cancelled: " + id}
	if reported := events.describe(t); !slices.Equal(reported, want) {
		t.Errorf("reported %q, want %q", reported, want)
	}
}

// The events of a process become the attempts of the history.
func TestReadEvents_RecordsAttempts(t *testing.T) {
	at := func(seconds int) time.Time { return after(time.Duration(seconds) * time.Second) }
	var events bytes.Buffer
	encoder := json.NewEncoder(&events)
	for _, event := range []engineEvent{
		{Kind: eventListening, At: at(0)},
		{Kind: eventAttemptBegan, At: at(1), RequestID: "served", Class: classLookup, RemainingTime: 300 * ms},
		{Kind: eventAttemptBegan, At: at(2), RequestID: "cancelled", Class: classLoad, RemainingTime: 400 * ms},
		{Kind: eventAttemptBegan, At: at(3), RequestID: "open", Class: classWrite, RemainingTime: 500 * ms},
		{Kind: eventAttemptEnded, At: at(4), RequestID: "served", Response: responseServed, WorkTime: 40 * ms},
		{Kind: eventAttemptCancelled, At: at(5), RequestID: "cancelled"},
		{Kind: eventAttemptEnded, At: at(6), RequestID: "cancelled", Response: responseServed},
		{Kind: eventAttemptEnded, At: at(6), RequestID: "unknown", Response: responseServed},
	} {
		if err := encoder.Encode(event); err != nil {
			t.Fatal(err)
		}
	}
	e := &engine{run: &run{history: newHistory()}, endpoint: endpoint{id: 5}}
	listening := make(chan struct{})
	readFrom := time.Now()
	e.readEvents("s/1", &events, listening)
	<-listening
	got := e.run.history.attempts
	if len(got) != 3 || got[2].endedAt.Before(readFrom) {
		t.Fatalf("the attempts are %+v", got)
	}
	got[2].endedAt = time.Time{} // the end of the process, which is checked above
	want := []attempt{
		{
			requestID: "served", engine: "s-00000005", class: classLookup, beganAt: at(1), remainingTime: 300 * ms,
			endedAt: at(4), response: responseServed, workTime: 40 * ms,
		},
		{
			requestID: "cancelled", engine: "s-00000005", class: classLoad, beganAt: at(2), remainingTime: 400 * ms,
			endedAt: at(5),
		},
		{requestID: "open", engine: "s-00000005", class: classWrite, beganAt: at(3), remainingTime: 500 * ms},
	}
	for i := range want {
		if *got[i] != want[i] {
			t.Errorf("attempt %d is %+v, want %+v", i, *got[i], want[i])
		}
	}
}

// An attempt counts as delayed if its engine has a proxy, or if the attempt began or ended within 500 ms
// after the end of a freeze of the engine.
func TestReadEvents_MarksDelayedAttempts(t *testing.T) {
	thawedAt := after(0)
	for _, c := range []struct {
		began, ended time.Duration
		proxy        *faultproxy.Proxy
		want         bool
	}{
		{-2 * ms, -ms, nil, false},
		{-ms, 0, nil, false},
		{-ms, ms, nil, true},
		{ms, 700 * ms, nil, true},
		{499 * ms, 700 * ms, nil, true},
		{500 * ms, 700 * ms, nil, false},
		{500 * ms, 700 * ms, &faultproxy.Proxy{}, true},
	} {
		var events bytes.Buffer
		encoder := json.NewEncoder(&events)
		for _, event := range []engineEvent{
			{Kind: eventAttemptBegan, At: after(c.began), RequestID: "r"},
			{Kind: eventAttemptEnded, At: after(c.ended), RequestID: "r", Response: responseServed},
		} {
			if err := encoder.Encode(event); err != nil {
				t.Fatal(err)
			}
		}
		e := &engine{run: &run{history: newHistory()}, proxy: c.proxy, thawedAt: thawedAt}
		e.readEvents("s/1", &events, nil)
		if got := e.run.history.attempts[0].delayed; got != c.want {
			t.Errorf("%v to %v, proxy %v: delayed %v, want %v", c.began, c.ended, c.proxy != nil, got, c.want)
		}
	}
}
