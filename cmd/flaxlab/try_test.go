package main

import (
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"flaxrelay/internal/lab/harness"
	"flaxrelay/internal/pgproto"
)

// Environment variables that make the test binary run the try command, and that set the addresses of its
// front ends.
const (
	tryVariable      = "FLAXLAB_TEST_TRY"
	httpVariable     = "FLAXLAB_TEST_HTTP"
	postgresVariable = "FLAXLAB_TEST_POSTGRES"
)

// Both front ends start with one command and respond to the requests that the instructions show. On SIGINT,
// all processes exit.
func TestTry_ServesBothProtocolsUntilInterrupted(t *testing.T) {
	if os.Getenv(tryVariable) != "" {
		runTry(t)
		return
	}
	httpAddress := freeAddress(t)
	postgresAddress := freeAddress(t)
	ctx, cancel := context.WithTimeout(t.Context(), 90*time.Second)
	defer cancel()
	process, logPath := startTry(t, httpAddress, postgresAddress)
	for _, address := range []string{httpAddress, postgresAddress} {
		if err := harness.WaitUntilListening(ctx, address); err != nil {
			t.Fatal(err)
		}
	}
	for !servesHTTP(ctx, t, httpAddress) {
		if ctx.Err() != nil {
			t.Fatal("the HTTP front end does not serve")
		}
	}
	// The PostgreSQL front end discovers its engines a moment after it starts to listen.
	for !servesPostgres(t, postgresAddress) {
		if ctx.Err() != nil {
			t.Fatal("the PostgreSQL front end does not serve")
		}
	}
	if err := process.Process.Signal(syscall.SIGINT); err != nil {
		t.Fatal(err)
	}
	if err := process.Wait(); err != nil {
		log, _ := os.ReadFile(logPath)
		t.Fatalf("%v\n%s", err, log)
	}
	for _, address := range []string{httpAddress, postgresAddress} {
		if conn, err := net.Dial("tcp", address); err == nil {
			closeQuietly(conn)
			t.Errorf("a process still listens at %s", address)
		}
	}
}

// runTry runs the command in a process that startTry started.
func runTry(t *testing.T) {
	t.Helper()
	command := tryCommand{
		Engines:  2,
		HTTP:     os.Getenv(httpVariable),
		Postgres: os.Getenv(postgresVariable),
		For:      time.Minute,
	}
	t.Chdir("../..")
	if err := command.Run(); err != nil {
		t.Fatal(err)
	}
}

// startTry runs the command in a separate process, which logs to the file at logPath.
func startTry(t *testing.T, httpAddress, postgresAddress string) (process *exec.Cmd, logPath string) {
	t.Helper()
	process = exec.Command(os.Args[0], "-test.run=^"+t.Name()+"$", "-test.v")
	process.Env = append(os.Environ(),
		tryVariable+"=1", httpVariable+"="+httpAddress, postgresVariable+"="+postgresAddress)
	log, err := os.Create(filepath.Join(t.TempDir(), "log"))
	if err != nil {
		t.Fatal(err)
	}
	process.Stdout = log
	process.Stderr = log
	if err := process.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = process.Process.Kill() }) // does nothing if the process has exited
	return process, log.Name()
}

func freeAddress(t *testing.T) string {
	t.Helper()
	address, err := harness.FreeAddr()
	if err != nil {
		t.Fatal(err)
	}
	return address
}

// servesHTTP reports whether the front end responds to a request with rows.
func servesHTTP(ctx context.Context, t *testing.T, address string) bool {
	t.Helper()
	const tag = "3f9c"
	statement := strings.NewReader("SELECT day FROM sales_17.orders WHERE tag = '" + tag + "'")
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/rpc/lookup", statement)
	if err != nil {
		t.Fatal(err)
	}
	request.Header.Set("Req-Id", "9b1f03aa5c7e2d41")
	request.Header.Set("Req-Wait-Ms", "1500")
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	defer closeQuietly(response.Body)
	body, _ := io.ReadAll(response.Body) // a truncated body lacks the tag
	return response.StatusCode == http.StatusOK && strings.Contains(string(body), tag)
}

// servesPostgres reports whether the front end responds to a statement with a row.
func servesPostgres(t *testing.T, address string) bool {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer closeQuietly(conn)
	parameters := append(append(pgproto.CString("user"), pgproto.CString("desk")...), 0)
	messages := pgproto.AppendStartup(nil, pgproto.ProtocolVersion, parameters)
	messages = pgproto.AppendMessage(messages, 'Q', pgproto.CString("SELECT day FROM stock_17.orders"))
	messages = pgproto.AppendMessage(messages, 'X')
	if _, err := conn.Write(messages); err != nil {
		t.Fatal(err)
	}
	response, _ := io.ReadAll(conn) // a truncated response lacks the command tag, "SELECT 1"
	return strings.Contains(string(response), "SELECT 1")
}

// closeQuietly closes c and ignores the error.
func closeQuietly(c io.Closer) { _ = c.Close() }
