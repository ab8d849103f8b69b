package soak

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"flaxrelay/internal/golden"
	"flaxrelay/internal/tcptest"
)

// redirectStdout writes standard output to a file for the time of the test, and returns its path.
func redirectStdout(t *testing.T) (path string) {
	t.Helper()
	path = filepath.Join(t.TempDir(), "stdout")
	file, err := os.Create(path)
	if err != nil {
		t.Fatal(err)
	}
	stdout := os.Stdout
	os.Stdout = file
	t.Cleanup(func() {
		os.Stdout = stdout
		_ = file.Close()
	})
	return path
}

// startTestEngine serves as an engine of a seed and returns its address.
func startTestEngine(t *testing.T, seed uint64, odd float64) (addr string) {
	t.Helper()
	listener := tcptest.Listen(t, tcptest.AnyLoopbackPort)
	e := &engineProcess{options: engineOptions{Odd: odd}, random: rand.New(rand.NewPCG(seed, 1))}
	go tcptest.Serve(listener, func(conn net.Conn) {
		(&engineConnection{process: e, conn: conn, running: map[string]chan struct{}{}}).serve()
	})
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

// readReports returns the reports that were printed, without their times.
func readReports(t *testing.T, path string) (reports []string) {
	t.Helper()
	file, err := os.Open(path)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = file.Close() }()
	for lines := bufio.NewScanner(file); lines.Scan(); {
		words := strings.Fields(lines.Text())
		reports = append(reports, strings.Join(slices.Delete(words, 1, 2), " "))
	}
	return reports
}

// The seed decides how an engine responds to a request, to the byte, and each attempt is reported.
func TestEngineProcess_RespondsAsItsSeedDecides(t *testing.T) {
	const seeds = 24
	path := redirectStdout(t)
	var responses [seeds]string
	var done sync.WaitGroup
	for seed := range responses {
		addr := startTestEngine(t, uint64(seed), 0.8)
		done.Go(func() {
			request := fmt.Sprintf("want %016x kind=lookup,ms=500 8\r\nSELECT 1\r\n", seed)
			responses[seed] = exchange(t, addr, request, time.Second)
		})
	}
	done.Wait()
	var reports []string
	for deadline := time.Now().Add(10 * time.Second); len(reports) < 2*seeds && time.Now().Before(deadline); {
		time.Sleep(10 * time.Millisecond) // the end of a connection is reported a little later
		reports = readReports(t, path)
	}
	slices.Sort(reports)
	var text strings.Builder
	for seed, response := range responses {
		fmt.Fprintf(&text, "seed %d: %q\n", seed, response)
	}
	text.WriteString(strings.Join(reports, "\n") + "\n")
	golden.Compare(t, "testdata/engine-responses.golden", []byte(text.String()))
}

// A cancelled request has no response and is reported as cut; pages are served on request.
func TestEngineProcess_CancelsAndServesPages(t *testing.T) {
	path := redirectStdout(t)
	const id = "000000000000000a"
	request := "want " + id + " kind=load,ms=100 8\r\nSELECT 1\r\n"
	got := exchange(t, startTestEngine(t, 1, 0), request+"never_mind "+id+"\r\nnever_mind "+id+"\r\nturn "+id+" 1\r\n", 200*time.Millisecond)
	page := id + "\t1\t2\n"
	if want := fmt.Sprintf("%s MORE batch=1 %d\r\n%s\r\n", id, len(page), page); got != want {
		t.Errorf("received %q, want %q", got, want)
	}
	want := []string{"begin " + id + " load 100", "cut " + id}
	if reports := readReports(t, path); !slices.Equal(reports, want) {
		t.Errorf("reported %q, want %q", reports, want)
	}
}
