package syscallfault

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"flaxrelay/internal/tcptest"
)

// roleVariable is the environment variable that makes a test binary run as the traced program. Its value
// is the address to which the program connects.
const roleVariable = "SYSCALLFAULT_TEST_ROLE"

// testFaults makes several kinds of faults frequent and the clock an hour fast.
var testFaults = Faults{
	ShortWrite: 0.5, ShortRead: 0.3, InterruptWait: 0.3, FailConnect: 0.5, FailFile: 0.5, ClockStep: time.Hour,
}

func TestMain(m *testing.M) {
	if os.Getenv(roleVariable) != "" {
		runTraced()
		return
	}
	os.Exit(m.Run())
}

// runTraced makes the system calls that the parent checks, and prints the results.
func runTraced() {
	startedAt := time.Now()
	fmt.Println("clock", startedAt.Unix())
	failures := 0
	for range 100 {
		conn, err := net.Dial("tcp", os.Getenv(roleVariable))
		if err != nil {
			failures++
			continue
		}
		for range 10 {
			_, _ = io.WriteString(conn, strings.Repeat("x", 200)+"\n")
			_, _ = bufio.NewReader(conn).ReadString('\n')
		}
		_ = conn.Close()
	}
	fmt.Println("failed connects", failures)
	failures = 0
	for range 40 {
		err := os.WriteFile(filepath.Join(os.TempDir(), "syscallfault-test"), []byte("content"), 0o600)
		if errors.Is(err, syscall.ENOSPC) || errors.Is(err, syscall.EIO) {
			failures++
		}
	}
	fmt.Println("failed writes", failures)
	fmt.Println("elapsed", int(time.Since(startedAt).Hours()))
}

// startTraced runs this test binary under the faults, waits until it has ended and returns its output.
func startTraced(t *testing.T, faults Faults) (p *Process, printed string) {
	t.Helper()
	listener := tcptest.Listen(t, tcptest.AnyLoopbackPort)
	go tcptest.Serve(listener, func(conn net.Conn) { _, _ = io.Copy(conn, conn) }) // sends each line back
	path := filepath.Join(t.TempDir(), "output")
	output, err := os.Create(path)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = output.Close() }()
	env := append(os.Environ(), roleVariable+"="+listener.Addr().String(), "TMPDIR="+t.TempDir())
	p, err = Start(os.Args[0], nil, env, output, 1, faults)
	if err != nil {
		t.Fatal(err)
	}
	watchdog := time.AfterFunc(time.Minute, func() { _ = p.Signal(syscall.SIGKILL) })
	defer watchdog.Stop()
	status, err := p.Wait()
	if err != nil || !status.Exited() || status.ExitStatus() != 0 {
		t.Errorf("the program ended with %#x, %v", int(status), err)
	}
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	return p, string(text)
}

// printedNumber returns the number that follows the words in the printed text.
func printedNumber(t *testing.T, printed, words string) (n int64) {
	t.Helper()
	_, rest, found := strings.Cut(printed, words)
	if !found {
		t.Fatalf("no %q in %q", words, printed)
	}
	if _, err := fmt.Sscan(rest, &n); err != nil {
		t.Fatal(err)
	}
	return n
}

// The configured faults are injected into the program. Its wall clock is stepped, its monotonic clock is not.
func TestStart_InjectsFaultsAndStepsTheWallClock(t *testing.T) {
	p, printed := startTraced(t, testFaults)
	counts := p.Counts()
	for _, kind := range []Kind{KindShortWrite, KindShortRead, KindInterruptWait, KindConnect, KindFile, KindClock} {
		if counts[kind] == 0 {
			t.Errorf("no fault of kind %s: %v", kind, counts)
		}
	}
	if ahead := printedNumber(t, printed, "clock ") - time.Now().Unix(); ahead < 3500 || ahead > 3700 {
		t.Errorf("the clock was %d s ahead", ahead)
	}
	if n := printedNumber(t, printed, "failed connects "); n < 20 || n > 80 {
		t.Errorf("%d of 100 connects failed", n)
	}
	if n := printedNumber(t, printed, "failed writes "); n < 5 || n > 35 {
		t.Errorf("%d of 40 writes of files failed", n)
	}
	if n := printedNumber(t, printed, "elapsed "); n != 0 {
		t.Errorf("%d hours passed", n)
	}
}

// Without faults the program runs as if it were not traced.
func TestStart_WithoutFaultsChangesNothing(t *testing.T) {
	p, printed := startTraced(t, Faults{})
	if counts := p.Counts(); len(counts) != 0 {
		t.Errorf("faults: %v", counts)
	}
	if printedNumber(t, printed, "failed connects ") != 0 || printedNumber(t, printed, "failed writes ") != 0 {
		t.Errorf("calls failed: %s", printed)
	}
	if behind := time.Now().Unix() - printedNumber(t, printed, "clock "); behind < 0 || behind > 60 {
		t.Errorf("the clock is %d s behind", behind)
	}
}
