package e2e

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"
)

// BenchmarkRequestThroughFrontEnd measures one request of a client that keeps its
// connection: over loopback to the HTTP front, through the core and the client of the line
// protocol to an engine in this process, and back.
func BenchmarkRequestThroughFrontEnd(b *testing.B) {
	c := dial(b, platform(b, promptEngine(b)).addr)
	_ = c.SetDeadline(time.Time{}) // the run may be long
	call := post("lookup", "")
	in := bufio.NewReader(c)
	b.ReportAllocs()
	for b.Loop() {
		if _, err := io.WriteString(c, call); err != nil {
			b.Fatal(err)
		}
		answer, err := http.ReadResponse(in, nil)
		if err != nil {
			b.Fatal(err)
		}
		_, err = io.Copy(io.Discard, answer.Body)
		if err != nil || answer.StatusCode != http.StatusOK {
			b.Fatalf("status %d, %v", answer.StatusCode, err)
		}
	}
}

// promptEngine is an engine of the platform that answers each request at once with one
// row, and reports nothing.
func promptEngine(b *testing.B) (addr string) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go answerPromptly(c)
		}
	}()
	return ln.Addr().String()
}

// answerPromptly serves one connection until it ends.
func answerPromptly(c net.Conn) {
	defer c.Close()
	const row = "a\tb\tc\n"
	in := bufio.NewReader(c)
	for {
		line, err := in.ReadString('\n')
		if err != nil {
			return
		}
		words := strings.Fields(line)
		if len(words) == 0 || words[0] != "want" {
			continue
		}
		length, err := strconv.Atoi(words[len(words)-1])
		if err != nil {
			return
		}
		if _, err := in.Discard(length + len("\r\n")); err != nil {
			return
		}
		if _, err := fmt.Fprintf(c, "%s DONE batches=1,cpu=1,used=1 %d\r\n%s\r\n", words[1], len(row), row); err != nil {
			return
		}
	}
}
