package soak

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"

	"flaxrelay/internal/lab/fake"
)

// engineVariable holds the engineOptions of a process that is to be an engine.
const engineVariable = "FLAXLAB_SOAK_ENGINE"

// engineOptions say how an engine process behaves.
type engineOptions struct {
	Addr string  `json:"addr"`
	Seed uint64  `json:"seed"`
	Odd  float64 `json:"odd"` // share of requests with an answer that is no plain result
}

// Events that an engine process prints, one a line: the event, the time in Unix nanoseconds, the
// request's id and details.
const (
	reportReady = "ready"
	reportBegin = "begin" // class and milliseconds left
	reportEnd   = "end"   // word and nanoseconds of work
	reportCut   = "cut"   // the connection ended, or the attempt was given up
)

// Words of answers of the line protocol, and what stands for them in reports.
const (
	wordDone   = "DONE"
	wordFull   = "WAIT"
	wordBroke  = "BROKE"
	wordSpoilt = "spoilt" // not on the wire: an answer that can't be read
)

// RunEngineProcess serves as an engine if this process was started as one, and reports whether
// it was. Programs and test binaries that start runs call it first.
func RunEngineProcess() bool {
	encoded := os.Getenv(engineVariable)
	if encoded == "" {
		return false
	}
	var options engineOptions
	if err := json.Unmarshal([]byte(encoded), &options); err != nil {
		fmt.Fprintln(os.Stderr, "soak engine:", err)
		os.Exit(1)
	}
	listener, err := fake.Listen(options.Addr)
	if err != nil {
		fmt.Fprintln(os.Stderr, "soak engine:", err)
		os.Exit(1)
	}
	go func() { // the parent holds the other end for as long as it lives
		_, _ = io.Copy(io.Discard, os.Stdin)
		os.Exit(0)
	}()
	e := &engineProcess{options: options, random: rand.New(rand.NewPCG(options.Seed, 1))}
	e.report(reportReady, "-")
	for {
		conn, err := listener.Accept()
		if err != nil {
			continue
		}
		c := &engineConnection{process: e, conn: conn, running: map[string]chan struct{}{}}
		go c.serve()
	}
}

// engineProcess is the process's state.
type engineProcess struct {
	options engineOptions

	mu     sync.Mutex
	random *rand.Rand // guarded by mu
}

// report prints an event. The parent reads the process's standard output.
func (e *engineProcess) report(event, requestID string, details ...any) {
	e.mu.Lock()
	defer e.mu.Unlock()
	line := fmt.Sprintln(append([]any{event, time.Now().UnixNano(), requestID}, details...)...)
	if _, err := os.Stdout.WriteString(line); err != nil {
		os.Exit(1) // the parent has ended
	}
}

func (e *engineProcess) draw() float64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.random.Float64()
}

// engineConnection is one connection of a front end.
type engineConnection struct {
	process *engineProcess
	conn    net.Conn

	mu      sync.Mutex // guards writes and running
	running map[string]chan struct{}
}

func (c *engineConnection) serve() {
	defer func() {
		_ = c.conn.Close()
		c.mu.Lock()
		defer c.mu.Unlock()
		for id, cancelled := range c.running {
			close(cancelled)
			c.process.report(reportCut, id)
		}
		clear(c.running)
	}()
	in := bufio.NewReader(c.conn)
	for {
		line, err := in.ReadString('\n')
		if err != nil {
			return
		}
		words := strings.Fields(line)
		switch {
		case len(words) == 4 && words[0] == "want":
			length, err := strconv.Atoi(words[3])
			if err != nil {
				return
			}
			if _, err := io.CopyN(io.Discard, in, int64(length+len("\r\n"))); err != nil {
				return
			}
			c.begin(words[1], words[2])
		case len(words) == 2 && words[0] == "never_mind":
			c.finish(words[1], func() { c.process.report(reportCut, words[1]) })
		case len(words) == 3 && words[0] == "turn":
			c.write("%s MORE batch=%s %s", words[1], words[2], pageOf(words[1], words[2]))
		}
	}
}

// pageCount is how many pages the result of a request has.
func pageCount(requestID string) int { return 1 + int(requestID[len(requestID)-1]%3) }

// pageOf is a page with its length: the request's id, the page's number and the number of pages.
func pageOf(requestID, page string) string {
	text := fmt.Sprintf("%s\t%s\t%d\n", requestID, page, pageCount(requestID))
	return fmt.Sprintf("%d\r\n%s\r\n", len(text), text)
}

func (c *engineConnection) begin(id, fields string) {
	class, left := "", ""
	for _, field := range strings.Split(fields, ",") {
		name, value, _ := strings.Cut(field, "=")
		switch name {
		case "kind":
			class = value
		case "ms":
			left = value
		}
	}
	c.process.report(reportBegin, id, class, left)
	cancelled := make(chan struct{})
	c.mu.Lock()
	c.running[id] = cancelled
	c.mu.Unlock()
	go c.run(id, class, cancelled)
}

// run works on a request and answers it.
func (c *engineConnection) run(id, class string, cancelled <-chan struct{}) {
	workTime := time.Duration((0.5 + c.process.draw()) * float64(workTimes[class]))
	odd := c.process.draw()
	share := c.process.options.Odd
	if odd < share/4 {
		c.end(id, wordFull, 0, "%s WAIT - 0\r\n\r\n", id)
		return
	}
	select {
	case <-cancelled:
		return
	case <-time.After(workTime):
	}
	done := fmt.Sprintf("%s DONE batches=%d,cpu=%.1f,used=4,gauges=cpu:0.3;waiting:0;x1:0;x0:0 %s", id, pageCount(id), workTime.Seconds()*1000, pageOf(id, "0"))
	switch {
	case odd < share/2:
		c.end(id, wordBroke, workTime, "%s BROKE - 0\r\n\r\n", id)
	case odd < share*5/8:
		c.end(id, wordSpoilt, workTime, "%s DONE batches=1 999999999\r\nnoise", id)
	case odd < share*6/8:
		c.end(id, wordSpoilt, workTime, "%s", done[:len(done)/2]) // stops in the middle
	case odd < share*7/8:
		return // never answered
	default:
		c.end(id, wordDone, workTime, "%s", done)
		if odd < share {
			c.write("%s", done) // a second copy
		}
	}
}

// finish takes a request off the connection and calls report, unless it is off already.
func (c *engineConnection) finish(id string, report func()) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	cancelled, ok := c.running[id]
	if !ok {
		return false
	}
	delete(c.running, id)
	close(cancelled)
	report()
	return true
}

// end reports the end of a request and writes the answer.
func (c *engineConnection) end(id, word string, workTime time.Duration, format string, args ...any) {
	if c.finish(id, func() { c.process.report(reportEnd, id, word, int64(workTime)) }) {
		c.write(format, args...)
	}
}

func (c *engineConnection) write(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	_, _ = fmt.Fprintf(c.conn, format, args...) // a connection that has ended needs no answer
}
