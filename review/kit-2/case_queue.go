package main

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand"
	"net"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { cases["queue"] = playQueue }

// segmentSize is the largest TCP segment that the proxy takes, as on an Ethernet. On loopback a segment has 64 KB, and
// the kernel's buffers grow with it.
const segmentSize = 1400

// receiveBuffer is the size of the proxy's receive buffers.
const receiveBuffer = 8 << 10

// cutProxy is the network between the front end and one engine. While it is cut, nothing passes in either direction,
// and nothing is lost.
type cutProxy struct {
	target string
	seen   func(id string, begun time.Time) // a request whose first byte has left the front end at that time, at the earliest

	mu    sync.Mutex
	isCut bool
	links []*cutLink
}

// cutLink is one connection of the front end.
type cutLink struct {
	client net.Conn
	read   int64 // bytes that the proxy has read
	marks  []cutMark
	buffer []byte
	offset int64 // of the first byte of the buffer
}

// cutMark is how many bytes the front end has handed to its system by a time, at most.
type cutMark struct {
	at   time.Time
	most int64
}

func (p *cutProxy) cut(on bool) {
	p.mu.Lock()
	p.isCut = on
	p.mu.Unlock()
}

func (p *cutProxy) waitWhileCut() {
	for {
		p.mu.Lock()
		on := p.isCut
		p.mu.Unlock()
		if !on {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
}

func (p *cutProxy) listen() (string, error) {
	config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) {
			_ = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_MAXSEG, segmentSize)
			_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, receiveBuffer)
		})
	}}
	l, err := config.Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go p.serve(conn)
		}
	}()
	go p.sample()
	return l.Addr().String(), nil
}

func (p *cutProxy) serve(client net.Conn) {
	engine, err := net.Dial("tcp", p.target)
	if err != nil {
		reset(client)
		return
	}
	link := &cutLink{client: client}
	p.mu.Lock()
	p.links = append(p.links, link)
	p.mu.Unlock()
	go func() {
		b := make([]byte, 16<<10)
		for {
			n, err := engine.Read(b)
			p.waitWhileCut()
			if err != nil {
				_ = client.Close()
				return
			}
			_, _ = client.Write(b[:n])
		}
	}()
	b := make([]byte, 16<<10)
	for {
		p.waitWhileCut()
		n, err := client.Read(b)
		if err != nil {
			_ = engine.Close()
			return
		}
		p.mu.Lock()
		link.read += int64(n)
		p.mu.Unlock()
		p.find(link, b[:n])
		p.waitWhileCut()
		_, _ = engine.Write(b[:n])
	}
}

// find finds the requests in what the front end has sent.
func (p *cutProxy) find(link *cutLink, b []byte) {
	link.buffer = append(link.buffer, b...)
	for {
		end := strings.Index(string(link.buffer), "\r\n")
		if end < 0 {
			return
		}
		words := strings.Fields(string(link.buffer[:end]))
		size := end + 2
		if len(words) == 4 && words[0] == "want" {
			length, _ := strconv.Atoi(words[3])
			size += length + 2
		}
		if len(link.buffer) < size {
			return
		}
		if len(words) == 4 && words[0] == "want" {
			p.seen(words[1], p.begun(link, link.offset))
		}
		link.buffer = link.buffer[size:]
		link.offset += int64(size)
	}
}

// begun returns a time before which the byte at the offset had not been handed to the front end's system: that of the
// latest mark without it. It is zero if there is none.
func (p *cutProxy) begun(link *cutLink, offset int64) (begun time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, mark := range link.marks {
		if mark.most <= offset {
			begun = mark.at
		}
	}
	return begun
}

// sample marks, while the network is cut, how much the front end has handed to its system: what the proxy has read, what
// waits for the proxy to read, and what the front end's system has not sent or knows not to have arrived.
func (p *cutProxy) sample() {
	for ; ; time.Sleep(10 * time.Millisecond) {
		at := time.Now()
		p.mu.Lock()
		isCut := p.isCut
		links := append([]*cutLink{}, p.links...)
		p.mu.Unlock()
		if !isCut {
			continue
		}
		sent, received := socketQueues()
		p.mu.Lock()
		for _, link := range links {
			near, far := hexAddress(link.client.LocalAddr()), hexAddress(link.client.RemoteAddr())
			waiting, known := sent[far+" "+near]
			if !known || !p.isCut {
				continue
			}
			link.marks = append(link.marks, cutMark{at: at, most: link.read + waiting + received[near+" "+far]})
		}
		p.mu.Unlock()
	}
}

func hexAddress(a net.Addr) string {
	tcp := a.(*net.TCPAddr)
	ip := tcp.IP.To4()
	return fmt.Sprintf("%02X%02X%02X%02X:%04X", ip[3], ip[2], ip[1], ip[0], tcp.Port)
}

// socketQueues returns the bytes in the send and the receive queues of all TCP sockets, by "LOCAL REMOTE".
func socketQueues() (sent, received map[string]int64) {
	sent, received = map[string]int64{}, map[string]int64{}
	for _, name := range []string{"/proc/net/tcp", "/proc/net/tcp6"} {
		file, err := os.Open(name)
		if err != nil {
			continue
		}
		for in := bufio.NewScanner(file); in.Scan(); {
			words := strings.Fields(in.Text())
			if len(words) < 5 {
				continue
			}
			local, remote := words[1], words[2]
			tx, rx, ok := strings.Cut(words[4], ":")
			if !ok {
				continue
			}
			if len(local) > 13 { // an IPv4 address in IPv6
				local, remote = local[24:], remote[24:]
			}
			sent[local+" "+remote], _ = strconv.ParseInt(tx, 16, 64)
			received[local+" "+remote], _ = strconv.ParseInt(rx, 16, 64)
		}
		_ = file.Close()
	}
	return sent, received
}

// playQueue cuts the network to one engine for some seconds, under loads of some size.
func playQueue(c *run) error {
	const (
		size     = 90_000 // bytes of a statement
		clients  = 60
		deadline = 800 * time.Millisecond
		window   = 1200 * time.Millisecond
		calm     = 3 * time.Second
		cut      = 6 * time.Second
		after    = 3 * time.Second
		slack    = 150 * time.Millisecond
	)
	settings := platformSettings()
	settings["classes"] = []object{
		{"name": "load", "aim-ms": 300, "aim-stretch": 1.5, "effect": "idempotency_key", "group": "all",
			"hard-limit-ms": deadline.Milliseconds(), "importance": 1, "late-share": 0, "streamed": false,
			"window-ms": window.Milliseconds()},
	}
	settings["limits"].(object)["max-retry-after-ms"] = 300
	extra := settings["extra"].(object)
	extra["is-load"], extra["yields-to-loads"], extra["parallelism"] = []bool{false}, []bool{false}, []int{1}

	var mu sync.Mutex
	seenAt := map[string]time.Time{}    // by key: when an engine saw it first; all engines share this
	applied := map[string][]string{}    // by key: the requests and engines that applied it
	ended := map[string]time.Time{}     // by request: when its client had the final answer
	outcome := map[string]string{}      // by request: the answer
	begunLate := map[string]time.Time{} // by request: sent not before this time
	keys := map[string]string{}         // key by request
	var targets []object
	var proxy *cutProxy
	for i := range 6 {
		e := &lineEngine{id: fmt.Sprintf("s-%08x", i+1), serve: func(e *lineEngine, q lineRequest, conn *lineConn) {
			key := q.fields["token"]
			now := time.Now()
			mu.Lock()
			first, seen := seenAt[key]
			if !seen || now.Sub(first) > window {
				seenAt[key] = now
				applied[key] = append(applied[key], e.id+" ("+q.id+")")
				c.note("%s applied %s (%s)", e.id, key, q.id)
			} else {
				c.note("%s discarded the repeat of %s (%s)", e.id, key, q.id)
			}
			mu.Unlock()
			time.Sleep(200 * time.Millisecond)
			conn.say(q.id, "DONE", "batches=1,cpu=100,used=10,gauges=queue:0;inflight:2;x0:0.1;x1:0.1", "a\t1\tx\n")
		}}
		address, err := e.listen("127.0.0.1:0")
		if err != nil {
			return err
		}
		if i == 0 {
			proxy = &cutProxy{target: address, seen: func(id string, begun time.Time) {
				mu.Lock()
				begunLate[id] = begun
				mu.Unlock()
			}}
			if address, err = proxy.listen(); err != nil {
				return err
			}
		}
		targets = append(targets, target(e.id, address, []string{"hall-a", "hall-b", "hall-c"}[i%3], i, 0))
	}
	listen, err := freeAddress()
	if err != nil {
		return err
	}
	config, err := c.writeConfig("n0", listen, "", 192, 1024, settings, targets)
	if err != nil {
		return err
	}
	if _, _, err := c.startFrontEnd(config, listen); err != nil {
		return err
	}
	time.Sleep(300 * time.Millisecond)
	statement := "INSERT INTO sales_17.orders VALUES ('" + strings.Repeat("x", size) + "')"
	end := time.Now().Add(calm + cut + after)
	served := 0
	var wg sync.WaitGroup
	for range clients {
		wg.Add(1)
		go func() {
			defer wg.Done()
			var conn *httpConn
			for time.Now().Before(end) {
				key := fmt.Sprintf("k%016x", rand.Uint64())
				firstAt := time.Now()
				for try := 0; try < 3 && time.Since(firstAt) < window; try++ {
					if conn == nil {
						if conn, err = dialHTTP(listen); err != nil {
							return
						}
					}
					id := fmt.Sprintf("%016x", rand.Uint64())
					mu.Lock()
					keys[id] = key
					mu.Unlock()
					c.note("a client sends %s under %s, %d bytes", id, key, len(statement))
					_ = conn.post("load", id, deadline, statement, "Req-Token: "+key+"\r\n")
					a, err := conn.answer(deadline + 2*time.Second)
					if err != nil && !errors.Is(err, io.EOF) {
						c.note("%s: %v", id, err)
					}
					mu.Lock()
					ended[id] = time.Now()
					outcome[id] = fmt.Sprint(a.status)
					if a.served() {
						served++
					}
					mu.Unlock()
					c.note("%s (%s): %d", key, id, a.status)
					if err != nil || a.close {
						_ = conn.Close()
						conn = nil
					}
					if a.status != 503 && a.status != 429 {
						break
					}
					time.Sleep(a.wait)
				}
			}
		}()
	}
	time.Sleep(calm)
	if c.trouble {
		c.note("the network to %s is cut", "s-00000001")
		proxy.cut(true)
	}
	time.Sleep(cut)
	proxy.cut(false)
	c.note("the network is whole")
	wg.Wait()
	time.Sleep(time.Second)
	mu.Lock()
	defer mu.Unlock()
	twice := 0
	for id, begun := range begunLate {
		// The front end refused the request, then sent its first byte, and the engine ran it, though its client had taken
		// the refusal at its word and another engine had run the client's next try.
		late := begun.Sub(ended[id])
		if begun.IsZero() || ended[id].IsZero() || late <= slack {
			continue
		}
		key := keys[id]
		if len(applied[key]) < 2 || !strings.Contains(strings.Join(applied[key], " "), id) || (outcome[id] != "503" && outcome[id] != "429") {
			c.note("%s was answered with %s and sent to its engine at least %v later", id, outcome[id], late)
			continue
		}
		twice++
		c.breakRule("%s was answered with %s and sent to its engine at least %v later; its key was applied by %v",
			id, outcome[id], late.Round(time.Millisecond), applied[key])
	}
	all := 0
	for _, places := range applied {
		if len(places) > 1 {
			all++
		}
	}
	c.note("served %d; %d keys of requests that were sent after their answer were applied twice, %d keys in all", served, twice, all)
	fmt.Printf("served %d, applied twice %d of %d\n", served, twice, all)
	if served < 100 {
		return errors.New("too few loads were served")
	}
	return nil
}
