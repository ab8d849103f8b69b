package e2e

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"os"
	"runtime"
	"strings"
	"syscall"
	"testing"
	"time"

	"flaxrelay/internal/lifecycle"
	"flaxrelay/policy"
)

// arrive writes text and holds the loop until the poller has read it: what the loop
// does next on its own crosses with it.
func (g *gateway) arrive(k *httpClient, text string) {
	g.t.Helper()
	before := g.loop.BufferedBytes()
	if _, err := io.WriteString(k.c, text); err != nil {
		g.t.Error(err)
	}
	for g.loop.BufferedBytes() < before+int64(len(text)) {
		runtime.Gosched()
	}
}

// A call arrives on a resting connection in the moment in which a planned stop closes
// those: it is answered, once, and its connection ends behind the answer.
func TestCallCrossesDrain(t *testing.T) {
	addr, seen := lineEngine(t, func(line string) string { return done(line, "a\tb\tc\n") })
	g := platform(t, addr)
	whole, half, rest := httpConnect(t, g.addr), httpConnect(t, g.addr), httpConnect(t, g.addr)
	for _, k := range []*httpClient{whole, half, rest} {
		k.call("GET /health HTTP/1.1\r\n\r\n")
	}
	text := post("lookup", "")
	g.do(func() {
		g.arrive(whole, text)
		g.arrive(half, "POST /rpc/lookup HTT")
		g.rest.Drain()
	})
	got, _ := whole.call("")
	same(t, "the call that came just before", got, `200 {"result":[["a","b","c"]]}`)
	got, _ = half.call(text[len("POST /rpc/lookup HTT"):])
	same(t, "the call of which a part had come", got, `200 {"result":[["a","b","c"]]}`)
	for _, k := range []*httpClient{whole, half, rest} {
		if _, err := k.r.ReadByte(); err != io.EOF {
			t.Errorf("a connection goes on: %v", err)
		}
	}
	await(t, seen)
	await(t, seen)
	if n := g.count("attempts.started."); n != 2 {
		t.Errorf("%d sent, want 2", n)
	}
	if n := g.count("requests.disconnected."); n != 0 {
		t.Errorf("%d clients given up", n)
	}
}

// lateEngine is an engine whose connections don't come up before accept is called: its
// line of connections is full.
func lateEngine(t *testing.T, serve func(net.Conn)) (addr string, accept func()) {
	t.Helper()
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		t.Fatal(err)
	}
	if err := syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		t.Fatal(err)
	}
	if err := syscall.Listen(fd, 0); err != nil { // one may wait
		t.Fatal(err)
	}
	f := os.NewFile(uintptr(fd), "late")
	ln, err := net.FileListener(f)
	if err != nil {
		t.Fatal(err)
	}
	f.Close()
	t.Cleanup(func() { ln.Close() })
	first := dial(t, ln.Addr().String())
	return ln.Addr().String(), func() {
		go func() {
			for {
				c, err := ln.Accept()
				if err != nil {
					return
				}
				if c.RemoteAddr().String() == first.LocalAddr().String() {
					continue
				}
				_ = c.SetDeadline(time.Now().Add(patience))
				go func() { defer c.Close(); serve(c) }()
			}
		}()
	}
}

// A client leaves while its attempt waits for a connection that comes up late: nothing
// of it reaches the engine, also where the settings permit no cancel. What another
// client asks meanwhile goes on.
func TestClientLeavesBeforeTheConnectionIsUp(t *testing.T) {
	for _, cancel := range []bool{true, false} {
		heard := make(chan string, 9)
		addr, accept := lateEngine(t, func(c net.Conn) {
			for r := bufio.NewReader(c); ; {
				line, err := r.ReadString('\n')
				if err != nil {
					return
				}
				if w := strings.Fields(line); len(w) == 4 && w[0] == "want" {
					heard <- w[1]
					_, _ = io.WriteString(c, done(line, ""))
				}
			}
		})
		g := newGateway(t, func(s *policy.Settings) { s.Limits.Cancel = cancel })
		g.site.ConnectTimeout = patience
		g.platform(addr)
		leaves, stays := httpConnect(t, g.addr), httpConnect(t, g.addr)
		_, _ = io.WriteString(leaves.c, post("lookup", ""))
		for g.count("attempts.started.") < 1 {
			runtime.Gosched()
		}
		const other = "0000000000000002"
		_, _ = io.WriteString(stays.c, strings.NewReplacer(id, other, "2000", "8000").Replace(post("lookup", "")))
		leaves.c.Close()
		for g.count("requests.disconnected.") < 1 {
			runtime.Gosched()
		}
		if n := g.count("attempts.ended.not-sent"); n != 1 {
			t.Errorf("cancel %v: %d attempts taken back with their client, want 1", cancel, n)
		}
		accept()
		got, _ := stays.call("")
		same(t, "the other client's answer", got, `200 {"result":[]}`)
		same(t, "the engine heard first", await(t, heard), other)
	}
}

// An attempt runs out of time at an engine that hangs: the engine is told only where the
// settings permit a cancel, and the client has its one answer either way.
func TestNoCancelWhereItIsRuledOut(t *testing.T) {
	for _, cancel := range []bool{true, false} {
		addr, seen := lineEngine(t, func(line string) string {
			if w := strings.Fields(line); strings.HasSuffix(w[1], "2") {
				return done(line, "")
			}
			return ""
		})
		g := newGateway(t, func(s *policy.Settings) { s.Limits.Cancel = cancel })
		g.platform(addr)
		late := httpConnect(t, g.addr)
		got, _ := late.call(strings.Replace(post("lookup", ""), "2000", "200", 1))
		if !strings.HasPrefix(got, "50") {
			t.Errorf("cancel %v: the client was told %s", cancel, got)
		}
		for g.count("attempts.ended.") < 1 {
			runtime.Gosched()
		}
		got, _ = late.call(strings.Replace(post("lookup", ""), id, "0000000000000002", 1))
		same(t, "the next answer", got, `200 {"result":[]}`)
		told := 0
		for line := ""; !strings.HasPrefix(line, "want 0000000000000002"); {
			if line = await(t, seen); strings.HasPrefix(line, "never_mind") {
				told++
			}
		}
		if want := map[bool]int{true: 1}[cancel]; told != want {
			t.Errorf("cancel %v: the engine was told %d times, want %d", cancel, told, want)
		}
	}
}

// An engine turns an attempt away and says so twice. The further attempt has the same id:
// the second copy must not end it, or a third would be sent while it runs.
func TestSecondCopyOfAnEnd(t *testing.T) {
	tries := 0
	addr, seen := lineEngine(t, func(line string) string {
		w := strings.Fields(line)
		switch {
		case w[0] != "want":
			return ""
		case strings.HasSuffix(w[1], "2"): // the word that the engine is still there
			return done(line, "")
		}
		if tries++; tries == 1 {
			return strings.Repeat(w[1]+" WAIT - 0\r\n\r\n", 2)
		}
		return ""
	})
	g := platform(t, addr)
	k := httpConnect(t, g.addr)
	_, _ = io.WriteString(k.c, post("lookup", ""))
	await(t, seen)
	await(t, seen)
	got, _ := httpConnect(t, g.addr).call(strings.Replace(post("lookup", ""), id, "0000000000000002", 1))
	same(t, "another request", got, `200 {"result":[]}`)
	if n := g.count("attempts.started.lookup"); n != 3 {
		t.Errorf("%d attempts sent, want 2 of the first request and 1 of the other", n)
	}
	if n := g.count("attempts.ended.overloaded"); n != 1 {
		t.Errorf("%d attempts ended as turned away, want 1", n)
	}
}

// Where the settings name tenants, one within its share has the whole bound; who names
// none of them has the part that is open beyond the shares.
func TestTenantWithinItsShare(t *testing.T) {
	sent := map[string]int64{}
	for _, head := range []string{"Req-Owner: north\r\n", ""} {
		addr, _ := lineEngine(t, func(string) string { return "" })
		g := newGateway(t, func(s *policy.Settings) {
			s.Replicas = 1
			s.Tenants = []policy.Tenant{{Name: "north", Quota: 500, Share: 1}}
		}).platform(addr)
		for n := range int64(80) {
			k := httpConnect(t, g.addr)
			_, _ = io.WriteString(k.c, strings.Replace(post("lookup", head), id, fmt.Sprintf("%016x", n+1), 1))
			for g.count("requests.accepted.") <= n {
				runtime.Gosched()
			}
		}
		sent[head] = g.count("attempts.started.")
	}
	if in, beyond := sent["Req-Owner: north\r\n"], sent[""]; 2*in < 3*beyond {
		t.Errorf("%d sent within the share, %d beyond", in, beyond)
	}
}

// Requests of one order key run one at a time, in turn. A client that goes while it
// waits for its turn is not sent on.
func TestOrderKey(t *testing.T) {
	held := make(chan string, 9)
	release := make(chan string)
	addr := listen(t, func(c net.Conn) {
		go func() {
			for id := range release {
				_, _ = io.WriteString(c, done("want "+id, ""))
			}
		}()
		for r := bufio.NewReader(c); ; {
			line, err := r.ReadString('\n')
			if err != nil {
				return
			}
			if w := strings.Fields(line); len(w) == 4 && w[0] == "want" {
				held <- w[1]
			}
		}
	})
	g := newGateway(t, func(s *policy.Settings) {
		for i := range s.Classes {
			s.Classes[i].Ordered = true
		}
	})
	g.platform(addr)
	const one, two, three = "0000000000000001", "0000000000000002", "0000000000000003"
	ask := func(id, key string) *httpClient {
		k := httpConnect(t, g.addr)
		_, _ = io.WriteString(k.c, strings.NewReplacer("9b1f03aa5c7e2d41", id, "2000", "8000").Replace(post("lookup", "Req-Key: "+key+"\r\n")))
		return k
	}
	taken := func(n int64) {
		for g.count("requests.accepted.") < n {
			runtime.Gosched()
		}
	}
	first := ask(one, "k")
	same(t, "first at the engine", await(t, held), one)
	leaves := ask(two, "k")
	taken(2)
	last := ask(three, "k")
	taken(3)
	if n := g.count("attempts.started."); n != 1 {
		t.Errorf("%d sent while the first of the key runs, want 1", n)
	}
	leaves.c.Close()
	for g.count("requests.disconnected.") < 1 {
		runtime.Gosched()
	}
	release <- one
	got, _ := first.call("")
	same(t, "first answer", got, `200 {"result":[]}`)
	same(t, "next at the engine", await(t, held), three)
	release <- three
	got, _ = last.call("")
	same(t, "last answer", got, `200 {"result":[]}`)
}

// An engine resets a resting connection in the moment in which a request is to go out on
// it. Nothing of that left, so a request that is unsafe to repeat goes out anew.
func TestResetCrossesUnsafeRequest(t *testing.T) {
	conns := make(chan *net.TCPConn, 9)
	addr := listen(t, func(c net.Conn) {
		conns <- c.(*net.TCPConn)
		for r := bufio.NewReader(c); ; {
			line, err := r.ReadString('\n')
			if err != nil {
				return
			}
			if w := strings.Fields(line); len(w) == 4 && w[0] == "want" {
				_, _ = io.WriteString(c, done(line, ""))
			}
		}
	})
	g := newGateway(t, func(s *policy.Settings) {
		for i := range s.Classes {
			s.Classes[i].Effect = policy.NonIdempotent
		}
	}).platform(addr)
	k := httpConnect(t, g.addr)
	got, _ := k.call(strings.Replace(post("lookup", ""), id, "0000000000000001", 1))
	same(t, "the first answer", got, `200 {"result":[]}`)
	rests := await(t, conns)
	g.do(func() {
		g.arrive(k, post("lookup", "")) // first in the loop's queue
		_ = rests.SetLinger(0)
		rests.Close()
	})
	got, _ = k.call("")
	same(t, "the answer", got, `200 {"result":[]}`)
	if n := g.count("attempts.ended.not-sent"); n != 1 {
		t.Errorf("%d attempts ended as not sent, want 1", n)
	}
}

// An answer comes a byte at a time and never ends. Its connection ends with it while the
// clients still wait, and another engine, or the same one anew, serves them.
func TestAnswerThatNeverEnds(t *testing.T) {
	dripping := make(chan struct{}, 1)
	addr := listen(t, func(c net.Conn) {
		for r := bufio.NewReader(c); ; {
			line, err := r.ReadString('\n')
			if err != nil {
				return
			}
			w := strings.Fields(line)
			if len(w) != 4 || w[0] != "want" {
				continue
			}
			select {
			case dripping <- struct{}{}:
				_, err = fmt.Fprintf(c, "%s DONE batches=1 9000\r\n", w[1])
				for ; err == nil; _, err = io.WriteString(c, "a") {
					time.Sleep(100 * time.Millisecond) // the engine's pace
				}
				return
			default:
				_, _ = io.WriteString(c, done(line, ""))
			}
		}
	})
	g := newGateway(t, func(s *policy.Settings) { s.Limits.Cancel = false }).platform(addr)
	k := httpConnect(t, g.addr)
	got, _ := k.call(strings.Replace(post("lookup", ""), "2000", "8000", 1))
	same(t, "answer", got, `200 {"result":[]}`)
	if n := g.count("attempts.ended.protocol-error"); n != 1 {
		t.Errorf("%d attempts ended with the connection, want 1", n)
	}
}

// Past the most connections to engines the one that is idle longest goes; where all are at
// work a request is answered at once, and none is opened.
func TestRoomForLinks(t *testing.T) {
	quick := func(line string) string { return done(line, "") }
	one, _ := lineEngine(t, quick)
	two, _ := lineEngine(t, quick)
	hangs, seen := lineEngine(t, func(string) string { return "" })
	four, _ := lineEngine(t, quick)
	g := newGateway(t, nil)
	g.mostLinks, g.streams = 2, 1
	g.platform()
	k := httpConnect(t, g.addr)
	turn := func(text string, addr string) string {
		g.roster(policy.EngineReady, addr)
		defer g.roster(policy.EngineDraining, addr)
		got, _ := k.call(text)
		return got
	}
	same(t, "first", turn(post("lookup", ""), one), `200 {"result":[]}`)
	same(t, "second", turn(post("lookup", ""), two), `200 {"result":[]}`)
	if n := g.count("engine-connections.evicted"); n != 0 {
		t.Errorf("%d closed while there was room", n)
	}
	g.roster(policy.EngineReady, hangs)
	for n := range 2 { // a connection each
		open := httpConnect(t, g.addr)
		_, _ = io.WriteString(open.c, strings.Replace(post("lookup", ""), id, fmt.Sprintf("%016x", n+1), 1))
		await(t, seen)
	}
	g.roster(policy.EngineDraining, hangs)
	if n := g.count("engine-connections.evicted"); n != 2 {
		t.Errorf("%d idle connections closed for room, want 2", n)
	}
	dialed := g.count("engine-connections.dialed")
	same(t, "all at work", turn(post("lookup", ""), four), `503 {"fault":"Busy"}`)
	if n := g.count("engine-connections.dialed"); n != dialed {
		t.Errorf("%d connections opened past the most", n-dialed)
	}
}

// An engine begins to drain, or is gone from a whole list, while a request waits for its
// connection: nothing is written when that comes up, and another engine serves the client.
func TestDrainBeforeTheConnectionIsUp(t *testing.T) {
	for _, whole := range []bool{false, true} {
		heard := make(chan string, 9)
		late, accept := lateEngine(t, func(c net.Conn) {
			for r := bufio.NewReader(c); ; {
				line, err := r.ReadString('\n')
				if err != nil {
					heard <- "end"
					return
				}
				heard <- line
			}
		})
		other, _ := lineEngine(t, func(line string) string { return done(line, "") })
		g := newGateway(t, nil)
		g.site.ConnectTimeout = patience
		g.platform(late)
		k := httpConnect(t, g.addr)
		_, _ = io.WriteString(k.c, strings.Replace(post("lookup", ""), "2000", "8000", 1))
		for g.count("attempts.started.") < 1 {
			runtime.Gosched()
		}
		g.roster(policy.EngineReady, other)
		if whole {
			g.do(func() {
				g.core.UpdateEndpoints(policy.UpdateFull, []lifecycle.Endpoint{{Address: other, Engine: policy.Engine{ID: "e" + other, Zone: "hall-a", Kind: "std-8", State: policy.EngineReady}}})
			})
		} else {
			g.roster(policy.EngineDraining, late)
		}
		got, _ := k.call("")
		same(t, "answer", got, `200 {"result":[]}`)
		if n := g.count("attempts.ended.not-sent"); n != 1 {
			t.Errorf("whole list %v: %d attempts taken back, want 1", whole, n)
		}
		accept()
		g.roster(policy.EngineRemoved, late)
		same(t, "the engine that drains heard", await(t, heard), "end")
	}
}

// Calls come together on one connection, and the first waits out its time at an engine
// that hangs. The time of the second ran too, from its last byte: it is answered at once
// when its turn comes, and not sent on for a client that has waited it out.
func TestPipelinedCallsTimeRuns(t *testing.T) {
	addr, seen := lineEngine(t, func(string) string { return "" })
	g := platform(t, addr)
	k := httpConnect(t, g.addr)
	first := strings.Replace(post("lookup", ""), "2000", "300", 1)
	second := strings.NewReplacer(id, "0000000000000002", "2000", "200").Replace(post("lookup", ""))
	got, _ := k.call(first + second)
	same(t, "the first", got, `503 {"fault":"Busy"}`)
	got, _ = k.call("")
	same(t, "the second", got, `503 {"fault":"Busy"}`)
	same(t, "the engine heard", await(t, seen)[:21], "want "+id)
	if n := g.count("attempts.started."); n != 1 {
		t.Errorf("%d sent, want the first alone", n)
	}
}
