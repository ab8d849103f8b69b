package main

import (
	"bufio"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"
)

// smallTable is a descriptor limit that clients and engines together would fill.
const smallTable = 64

// answeringEngine answers every request with no rows.
func answeringEngine(t *testing.T) (addr string) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				for in := bufio.NewScanner(c); in.Scan(); {
					if w := strings.Fields(in.Text()); len(w) == 4 && w[0] == "want" {
						fmt.Fprintf(c, "%s DONE batches=1 0\r\n\r\n", w[1])
					}
				}
			}()
		}
	}()
	return ln.Addr().String()
}

// While discovery is down, idle clients take all the connections that they can get and
// requests go to more engines than there are descriptors. When discovery comes back it is
// asked at once, and requests and health are answered all the while.
func TestRosterKeepsItsDescriptors(t *testing.T) {
	if path := os.Getenv(childEnv); path != "" {
		limit := syscall.Rlimit{Cur: smallTable, Max: smallTable}
		if err := syscall.Setrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
			t.Fatal(err)
		}
		if err := run(serving{config: path}, slog.New(slog.NewTextHandler(os.Stderr, nil))); err != nil {
			t.Fatal(err)
		}
		return
	}
	// At an address of its own: a connection out could else take the port while it is free.
	bus, err := net.Listen("tcp", "127.0.0.77:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := bus.Addr().String()
	bus.Close()
	raw, err := os.ReadFile("../../examples/toy/config.json")
	if err != nil {
		t.Fatal(err)
	}
	var cfg map[string]any
	if err := json.Unmarshal(raw, &cfg); err != nil {
		t.Fatal(err)
	}
	var targets []any
	for i := range smallTable {
		targets = append(targets, map[string]any{
			"uid": fmt.Sprintf("s-%08x", i), "endpoint": answeringEngine(t), "az": "hall-a", "model": "std-8",
			"pod_group": 0, "state": "in_service", "capacity_hint": 1, "boot_ms": 0,
		})
	}
	cfg["listen"], cfg["bus"] = "127.0.0.1:0", addr
	cfg["limits"] = map[string]any{"cores": 1, "memory_mb": 192, "sockets": smallTable}
	cfg["known"] = map[string]any{"offset": 1, "batch": []any{map[string]any{
		"offset": 1, "topology": map[string]any{"rev": 1, "all": true, "targets": targets},
	}}}
	if raw, err = json.Marshal(cfg); err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(path, raw, 0o600); err != nil {
		t.Fatal(err)
	}
	p := startTest(t, "TestRosterKeepsItsDescriptors", path)
	p.await("server.listening")
	_, front, _ := strings.Cut(p.log.Text(), "addr=")
	logged := make(chan struct{})
	go func() { // the pipe must not fill
		defer close(logged)
		for p.log.Scan() {
		}
	}()

	c, err := net.Dial("tcp", front)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(15 * time.Second))
	answers := bufio.NewReader(c)
	ask := func(text string) {
		t.Helper()
		if _, err := io.WriteString(c, text); err != nil {
			t.Fatal(err)
		}
		resp, err := http.ReadResponse(answers, nil)
		if err != nil {
			t.Fatal(err)
		}
		_, _ = io.Copy(io.Discard, resp.Body)
		if resp.StatusCode != http.StatusOK {
			t.Errorf("%.20q got %s", text, resp.Status)
		}
	}
	ask("GET /health HTTP/1.1\r\n\r\n")
	for range 3 * smallTable { // some wait unaccepted, some go for others
		idle, err := net.Dial("tcp", front)
		if err != nil {
			t.Fatal(err)
		}
		defer idle.Close()
	}
	for n := range 8 * smallTable {
		ask(strings.Replace(call, "9b1f03aa5c7e2d4%d", fmt.Sprintf("%016x", n), 1))
	}
	if bus, err = net.Listen("tcp", addr); err != nil {
		t.Fatal(err)
	}
	defer bus.Close()
	_ = bus.(*net.TCPListener).SetDeadline(time.Now().Add(3 * time.Second))
	b, err := bus.Accept()
	if err != nil {
		t.Fatalf("discovery is back and is not asked: %v", err)
	}
	defer b.Close()
	var last uint64
	if err := binary.Read(b, binary.BigEndian, &last); err != nil || last != 1 {
		t.Errorf("discovery was told %d, %v", last, err)
	}
	ask("GET /health HTTP/1.1\r\n\r\n")
	p.signal(syscall.SIGTERM)
	<-logged
	if err := p.cmd.Wait(); err != nil {
		t.Errorf("the program ended with %v", err)
	}
}
