package lineclient_test

import (
	"bufio"
	"bytes"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"log/slog"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"flaxrelay/internal/config"
	"flaxrelay/internal/engine/lineclient"
	"flaxrelay/internal/eventloop"
	"flaxrelay/internal/lifecycle"
	"flaxrelay/internal/metrics"
	"flaxrelay/internal/timerqueue"
	"flaxrelay/policy"
)

var update = flag.Bool("update", false, "write the golden files anew")

const (
	patience = 10 * time.Second
	engineID = "e1"
	settings = `{"balancers":1,"zone":"a","zones":["a"],"kinds":["k"],"round-ms":5,
		"classes":[{"name":"report","aim-ms":500,"hard-limit-ms":2500,"effect":"read_like","group":"all","importance":1}],
		"extra":{"cores-by-kind":[4],"memory-by-kind-mb":[4096],"parallelism":[1],"when-short":"queue"},
		"limits":{"cancel":%t,"max-streams":32,"most-tries":1},
		"contract":{"cold-ms":10000,"fall-ms":2000,"start-capacity":0.3,"stop-sending-within-ms":500,"tip-multiple":3}}`
)

// fixedClock stands still: `ms=` in a request is then the attempt's whole time, and the
// golden files need no normalising.
type fixedClock struct{}

func (fixedClock) Now() time.Duration { return time.Hour }

// exchange is a scripted engine with our side of the protocol, and what was written so
// far: `> ` by our side, `< ` by the engine, `= ` what our side made of it.
type exchange struct {
	t      *testing.T
	loop   *eventloop.Loop
	core   *lifecycle.Dispatcher
	links  *lineclient.Client
	stats  *metrics.Counters
	listen net.Listener
	conn   net.Conn
	in     *bufio.Reader
	seen   map[string]bool
	log    bytes.Buffer
	served bytes.Buffer // what came with good ends; of the loop's goroutine
}

func newExchange(t *testing.T, cancels bool) *exchange {
	t.Helper()
	x := &exchange{t: t, stats: metrics.New(), seen: map[string]bool{}}
	var site config.Site
	x.must(json.Unmarshal(fmt.Appendf(nil, settings, cancels), &site))
	var err error
	x.listen, err = net.Listen("tcp", "127.0.0.1:0")
	x.must(err)
	t.Cleanup(func() { x.listen.Close() })
	x.loop, err = eventloop.New(1024)
	x.must(err)
	discard := slog.New(slog.DiscardHandler)
	x.core, err = lifecycle.New(site.Policy, 1, fixedClock{}, timerqueue.New(), x.stats, discard)
	x.must(err)
	x.core.SetCostObserver(x)
	x.links = lineclient.New(x.loop, x.core, site, x.stats, discard)
	x.core.SetEngineClient(x.links)
	done := make(chan struct{})
	go func() { x.loop.Run(); close(done) }()
	t.Cleanup(func() { x.loop.Post(x.loop.Stop); <-done })
	x.engine(policy.EngineReady)
	return x
}

func (x *exchange) must(err error) {
	x.t.Helper()
	if err != nil {
		x.t.Fatalf("%v; up to here:\n%s", err, x.log.String())
	}
}

// do runs f where the links live, and waits for it.
func (x *exchange) do(f func()) {
	done := make(chan struct{})
	x.loop.Post(func() { f(); close(done) })
	<-done
}

func (x *exchange) engine(state policy.EngineState) {
	entry := lifecycle.Endpoint{Address: x.listen.Addr().String(), Engine: policy.Engine{ID: engineID, Zone: "a", Kind: "k", State: state}}
	x.do(func() { x.links.UpdateEndpoint(entry) })
}

// send begins an attempt and returns it.
func (x *exchange) send(id, statement string, change func(*lifecycle.Attempt)) *lifecycle.Attempt {
	request := &lifecycle.Request{ID: id, Class: "report", Statement: statement, ObserverData: "noted"}
	attempt := &lifecycle.Attempt{Request: request, Engine: engineID, StartedAt: fixedClock{}.Now(), Timeout: 1500 * time.Millisecond, Priority: 1}
	if change != nil {
		change(attempt)
	}
	x.do(func() { x.links.Start(attempt) })
	if x.conn == nil {
		x.accept()
	}
	return attempt
}

func (x *exchange) accept() {
	x.t.Helper()
	x.must(x.listen.(*net.TCPListener).SetDeadline(time.Now().Add(patience)))
	conn, err := x.listen.Accept()
	x.must(err)
	x.t.Cleanup(func() { conn.Close() })
	x.must(conn.SetDeadline(time.Now().Add(patience)))
	x.conn, x.in = conn, bufio.NewReader(conn)
}

// read takes one command of our side, with its statement if it has one.
func (x *exchange) read() {
	x.t.Helper()
	line, err := x.in.ReadString('\n')
	x.must(err)
	fmt.Fprintf(&x.log, "> %q\n", line)
	if !strings.HasPrefix(line, "want ") {
		return
	}
	var length int
	_, err = fmt.Sscan(line[strings.LastIndexByte(line, ' '):], &length)
	x.must(err)
	statement := make([]byte, length+len("\r\n"))
	_, err = io.ReadFull(x.in, statement)
	x.must(err)
	fmt.Fprintf(&x.log, "> %q\n", statement)
}

func (x *exchange) write(text string) {
	x.t.Helper()
	fmt.Fprintf(&x.log, "< %q\n", text)
	_, err := io.WriteString(x.conn, text)
	x.must(err)
}

// ended waits until the attempt is over, and notes how it ended and what was read.
func (x *exchange) ended(a *lifecycle.Attempt) {
	x.t.Helper()
	for by := time.Now().Add(patience); ; time.Sleep(time.Millisecond) {
		over := false
		x.do(func() { over = a.Ended() })
		if over {
			break
		}
		if time.Now().After(by) {
			x.t.Fatalf("the attempt never ended; up to here:\n%s", x.log.String())
		}
	}
	var counts bytes.Buffer
	x.do(func() {
		x.stats.Print(&counts)
		_, _ = x.served.WriteTo(&x.log)
	})
	for line := range strings.Lines(counts.String()) {
		if strings.HasPrefix(line, "count attempts.ended.") && !x.seen[line] {
			x.seen[line] = true
			fmt.Fprintf(&x.log, "= %s", strings.TrimPrefix(line, "count "))
		}
	}
}

// Served notes what came with a good end.
func (x *exchange) ObserveServed(r *lifecycle.Request, rep lifecycle.AttemptReport, _ time.Duration) {
	load := rep.Load
	fmt.Fprintf(&x.served, "= served %s: work %v, memory %v MB, load told %t: busy %v held %v waiting %v memory %v disks %v\n",
		r.ID, rep.Work, rep.MemoryMB, load.Reported, load.CPUShare, load.InFlight, load.Queued, load.MemoryShare, load.DiskShare)
	for n, page := range rep.Result.(lineclient.Rows) {
		fmt.Fprintf(&x.served, "= page %d %q\n", n, page)
	}
}

func (x *exchange) ObserveTimeout(*lifecycle.Request, time.Duration) {}
func (x *exchange) Release(*lifecycle.Request)                       {}

// closed takes the engine off the roster, which closes the idle connection, and notes
// all that our side had still written: nothing is left out of the golden file.
func (x *exchange) closed() {
	x.engine(policy.EngineRemoved)
	x.closedByItself()
}

// closedByItself notes what our side writes up to the end of its connection, and the end.
func (x *exchange) closedByItself() {
	x.t.Helper()
	rest, err := io.ReadAll(x.in)
	if len(rest) > 0 {
		fmt.Fprintf(&x.log, "> %q\n", rest)
	}
	if err != nil && !strings.Contains(err.Error(), "connection reset") {
		x.must(err)
	}
	fmt.Fprintf(&x.log, "> end of the connection\n")
	x.conn = nil
}

func (x *exchange) compare(name string) {
	x.t.Helper()
	path := filepath.Join("testdata", "golden", name+".txt")
	if *update {
		x.must(os.MkdirAll(filepath.Dir(path), 0o700))
		x.must(os.WriteFile(path, x.log.Bytes(), 0o600))
	}
	want, err := os.ReadFile(path)
	x.must(err)
	if !bytes.Equal(x.log.Bytes(), want) {
		x.t.Errorf("%s: got\n%s\nwant\n%s", path, x.log.String(), want)
	}
}

const (
	id       = "9b1f03aa5c7e2d41"
	question = "SELECT day FROM sales_17.orders WHERE note = 'é\r\n'"
)

// scripts are the exchanges by the name of their golden file.
var scripts = map[string]struct {
	cancels bool
	play    func(*exchange)
}{
	"want": {false, func(x *exchange) {
		plain := x.send(id, question, nil)
		x.read()
		full := x.send("00000000000000ff", "", func(a *lifecycle.Attempt) {
			a.Request.IdempotencyKey, a.MemoryMB, a.Priority, a.Timeout = "key-1", 96.75, 3, 250*time.Millisecond
		})
		x.read()
		late := x.send("0000000000000100", "SELECT 1", func(a *lifecycle.Attempt) { a.Priority, a.Timeout = 0, 0 })
		x.read()
		for _, a := range []*lifecycle.Attempt{late, full, plain} { // in any order
			x.write(a.Request.ID + " DONE batches=1 0\r\n\r\n")
			x.ended(a)
		}
		x.closed()
	}},
	"cancel-permitted": {true, func(x *exchange) {
		a := x.send(id, question, nil)
		x.read()
		x.do(func() { x.links.Abandon(a) })
		x.read()
		x.closed()
	}},
	"cancel-not-permitted": {false, func(x *exchange) {
		a := x.send(id, question, nil)
		x.read()
		x.do(func() { x.links.Abandon(a) })
		x.closed()
	}},
	"cancel-between-pages": {false, func(x *exchange) { // what waits to be fetched may be let go of
		a := x.send(id, question, nil)
		x.read()
		x.write(id + " DONE batches=2 6\r\na\tb\tc\n\r\n")
		x.read()
		x.do(func() { x.links.Abandon(a) })
		x.read()
		x.closed()
	}},
	"hurry": {false, func(x *exchange) {
		a := x.send(id, question, nil)
		x.read()
		for priority := range 4 {
			x.do(func() { x.links.SetPriority(a, priority) })
			x.read()
		}
		x.write(id + " DONE batches=0 0\r\n\r\n")
		x.ended(a)
		x.closed()
	}},
	"pages": {false, func(x *exchange) {
		a := x.send(id, question, nil)
		x.read()
		x.write(id + " DONE batches=4,cpu=12.5,used=3 6\r\na\tb\tc\n\r\n")
		for range 3 {
			x.read()
		}
		x.write(id + " MORE batch=2 6\r\ng\th\ti\n\r\n")
		x.write(id + " MORE batch=2 6\r\ng\th\ti\n\r\n") // a second copy
		x.write(id + " MORE batch=1 12\r\nd\t\té\nj\tk\tl\n\r\n")
		x.write(id + " MORE batch=3 0\r\n\r\n")
		x.read()
		x.ended(a)
		x.closed()
	}},
	"answers": {false, func(x *exchange) {
		for n, word := range []string{"WAIT", "BROKE", "PAST"} {
			a := x.send(fmt.Sprintf("%016x", n), "SELECT 1", nil)
			x.read()
			x.write(a.Request.ID + " " + word + " - 0\r\n\r\n")
			x.ended(a)
		}
		for n, answer := range []string{
			"DONE batches=0 0\r\n\r\n", "DONE batches=1,cpu=0.25,used=1.5 6\r\na\tb\tc\n\r\n",
			"DONE used=x,cpu=NaN,batches=1 0\r\n\r\n", "DONE batches=1,cpu=-4 0\r\n\r\n",
		} {
			a := x.send(fmt.Sprintf("%016x", 16+n), "SELECT 1", nil)
			x.read()
			x.write(a.Request.ID + " " + answer)
			x.ended(a)
		}
		a := x.send(id, "SELECT 1", nil)
		x.read()
		x.write(id + " DONE batches=2 6\r\na\tb\tc\n\r\n")
		x.read()
		x.write(id + " BROKE - 0\r\n\r\n") // a page that the engine no longer knows
		x.ended(a)
		x.closed()
	}},
	"words-that-end-nothing": {false, func(x *exchange) {
		a := x.send(id, "SELECT 1", nil)
		x.read()
		for _, fields := range []string{"res=p,num=0.5", "res=s,num=64", "res=w,num=1", "res=w,num=2", "res=?,num=1", "num=1", "-"} {
			x.write(id + " TELL " + fields + " 0\r\n\r\n")
		}
		x.write("t1 FIT - 0\r\n\r\n")
		x.write(id + " FIT - 0\r\n\r\n")
		x.write("ffffffffffffffff DONE batches=1 0\r\n\r\n") // for nobody
		x.write(id + " DONE batches=1 0\r\n\r\n")
		x.ended(a)
		var notes int64
		x.do(func() { notes = x.stats.Get("attempts.progress") })
		fmt.Fprintf(&x.log, "= %d notes\n", notes)
		x.closed()
	}},
	"gauges": {false, func(x *exchange) {
		for n, gauges := range []string{
			"inflight:7;util:0.61", "active:2;cpu:0.5;waiting:3;x0:0.25;x1:1.5", "queue:4;rps:100;avg_ms:3;err_rps:0",
			"rps:100", "", "util:NaN;inflight:x;x0:1e-3",
		} {
			a := x.send(fmt.Sprintf("%016x", n), "SELECT 1", nil)
			x.read()
			x.write(a.Request.ID + " DONE batches=1,gauges=" + gauges + " 0\r\n\r\n")
			x.ended(a)
		}
		x.closed()
	}},
}

func TestGoldenExchanges(t *testing.T) {
	for name, script := range scripts {
		t.Run(name, func(t *testing.T) {
			x := newExchange(t, script.cancels)
			script.play(x)
			x.compare(name)
		})
	}
}

// After what can't be read, the connection is closed with all that was open on it, and
// the next request goes out on a new one.
func TestGoldenUnreadableAnswers(t *testing.T) {
	for name, answer := range map[string]string{
		"unreadable-word":        id + " ODD - 0\r\n\r\n",
		"unreadable-three-words": id + " DONE batches=1\r\n",
		"unreadable-length":      id + " DONE batches=1 x\r\n",
		"unreadable-long":        id + " DONE batches=1 16385\r\n",
		"unreadable-line-end":    id + " DONE batches=1 0\n",
		"unreadable-body-end":    id + " DONE batches=1 6\r\na\tb\tc\nxx",
		"unreadable-two-columns": id + " DONE batches=1 4\r\na\tb\n\r\n",
		"unreadable-half-row":    id + " DONE batches=1 5\r\na\tb\tc\r\n",
		"unreadable-text":        id + " DONE batches=1 6\r\na\tb\t\xff\n\r\n",
		"unreadable-no-pages":    id + " DONE - 0\r\n\r\n",
		"unreadable-many-pages":  id + " DONE batches=65 0\r\n\r\n",
		"unreadable-page":        id + " MORE batch=1 0\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			x := newExchange(t, true)
			a := x.send(id, "SELECT 1", nil)
			x.read()
			other := x.send("0000000000000001", "SELECT 2", nil)
			x.read()
			x.write(answer)
			x.ended(a)
			x.ended(other)
			x.closedByItself()
			next := x.send("0000000000000002", "SELECT 3", nil)
			x.read()
			x.write("0000000000000002 DONE batches=1 0\r\n\r\n")
			x.ended(next)
			x.closed()
			x.compare(name)
		})
	}
}
