package fake

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"log/slog"
	"net"
	"slices"
	"strings"
	"testing"
	"time"

	"flaxrelay/internal/pgproto"
)

// waitLimit limits the time of all reads and writes on a connection.
const waitLimit = 10 * time.Second

// startEngine starts an engine and connects to it. A statement that contains "endless" takes an hour, and any other
// statement takes no time.
func startEngine(t *testing.T, serve func(net.Listener, Work, *slog.Logger)) net.Conn {
	t.Helper()
	listener, err := Listen(AnyLoopbackPort)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	work := func(statement string) (time.Duration, float64) {
		if strings.Contains(statement, "endless") {
			return time.Hour, 1
		}
		return 0, 1
	}
	go serve(listener, work, slog.New(slog.DiscardHandler))
	conn, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	_ = conn.SetDeadline(time.Now().Add(waitLimit))
	return conn
}

// The engine reports its progress three times and responds with the request. A cancelled statement has
// no response.
func TestServeLineProtocol_ReportsProgressAndEchoesTheRequest(t *testing.T) {
	conn := startEngine(t, ServeLineProtocol)
	const (
		endless = "want e k=1 7\r\nendless\r\n"
		cancel  = "never_mind e\r\n"
		quick   = "want a k=1 8\r\nSELECT 1\r\n"
	)
	if _, err := io.WriteString(conn, endless+cancel+quick); err != nil {
		t.Fatal(err)
	}
	const page = "fields\tk=1\ttoy\nstatement\tSELECT 1\ttoy\n"
	want := "a TELL res=p,num=0.25 0\r\n\r\na TELL res=p,num=0.50 0\r\n\r\na TELL res=p,num=0.75 0\r\n\r\n" +
		fmt.Sprintf("a DONE batches=1,cpu=0,used=1,gauges=util:0.1;queue:0;x1:0;x0:0 %d\r\n%s\r\n", len(page), page)
	got := make([]byte, len(want))
	if _, err := io.ReadFull(conn, got); err != nil || string(got) != want {
		t.Errorf("%q, %v, want %q", got, err, want)
	}
}

// The engine describes the parameters in the statement, and responds to an execution with the statement.
func TestServePostgres_DescribesParametersAndEchoesTheStatement(t *testing.T) {
	conn := startEngine(t, ServePostgres)
	const statement = "SELECT $2, $1"
	startupParameters := slices.Concat(pgproto.CString("user"), pgproto.CString("lab"), []byte{0})
	out := pgproto.AppendStartup(nil, pgproto.ProtocolVersion, startupParameters)
	out = pgproto.AppendMessage(out, 'P', pgproto.CString("s"), pgproto.CString(statement), []byte{0, 0})
	out = pgproto.AppendMessage(out, 'D', []byte("S"), pgproto.CString("s"))
	out = pgproto.AppendMessage(out, 'B', pgproto.CString(""), pgproto.CString("s"), []byte{0, 0, 0, 0, 0, 0})
	out = pgproto.AppendMessage(out, 'E', pgproto.CString(""), pgproto.Int32(0))
	out = pgproto.AppendMessage(out, 'S')
	if _, err := conn.Write(out); err != nil {
		t.Fatal(err)
	}
	in := bufio.NewReader(conn)
	if kinds, _ := readMessages(t, in); kinds != "RKZ" {
		t.Fatalf("startup: %s", kinds)
	}
	kinds, bodies := readMessages(t, in)
	if kinds != "1tT2DCZ" {
		t.Fatalf("batch: %s", kinds)
	}
	twoTexts := []byte{0, 2, 0, 0, 0, oidText, 0, 0, 0, oidText}
	if parameters := bodies[1]; !bytes.Equal(parameters, twoTexts) {
		t.Errorf("parameters: %v", parameters)
	}
	if row := bodies[4]; !bytes.HasSuffix(row, []byte(statement)) {
		t.Errorf("row: %q", row)
	}
}

// readMessages reads messages up to a ReadyForQuery.
func readMessages(t *testing.T, in io.Reader) (kinds string, bodies [][]byte) {
	t.Helper()
	var unread []byte
	for {
		kind, body, n, err := pgproto.ParseMessage(unread, maxMessageLength)
		if err != nil {
			t.Fatal(err)
		}
		if n == 0 {
			chunk := make([]byte, 1)
			if _, err := io.ReadFull(in, chunk); err != nil {
				t.Fatalf("after %q: %v", kinds, err)
			}
			unread = append(unread, chunk...)
			continue
		}
		kinds += string(kind)
		bodies = append(bodies, bytes.Clone(body))
		if kind == 'Z' {
			return kinds, bodies
		}
		unread = unread[n:]
	}
}
