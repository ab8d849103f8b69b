package main

import (
	"fmt"
	"math/rand"
	"net"
	"strings"
	"sync"
	"time"
)

func init() { cases["budget"] = playBudget }

// playBudget has bad clients stop in the middle of large requests, while usual clients send statements of
// 40 KB.
func playBudget(c *run) error {
	const (
		memoryMB   = 96
		sockets    = 1024
		badClients = 220 // together with the usual clients less than a third of the descriptors
		usual      = 6
		halfSize   = 95_000
		wait       = 2500 * time.Millisecond
		calm       = 2 * time.Second
		length     = 12 * time.Second
	)
	serve := func(e *lineEngine, q lineRequest, conn *lineConn) {
		time.Sleep(50 * time.Millisecond)
		c.note("engine %s ran %s", e.id, q.id)
		conn.say(q.id, "DONE", "batches=1,cpu=50,used=10,gauges=queue:0;inflight:1;x0:0.1;x1:0.1", "a\t1\tx\n")
	}
	var targets []object
	for i := range 6 {
		e := &lineEngine{id: fmt.Sprintf("s-%08x", i+1), serve: serve}
		address, err := e.listen("127.0.0.1:0")
		if err != nil {
			return err
		}
		targets = append(targets, target(e.id, address, []string{"hall-a", "hall-b", "hall-c"}[i%3], i, 0))
	}
	listen, err := freeAddress()
	if err != nil {
		return err
	}
	config, err := c.writeConfig("n0", listen, "", memoryMB, sockets, platformSettings(), targets)
	if err != nil {
		return err
	}
	p, _, err := c.startFrontEnd(config, listen)
	if err != nil {
		return err
	}
	time.Sleep(500 * time.Millisecond)
	end := time.Now().Add(calm + length)
	var wg sync.WaitGroup
	if c.trouble {
		for n := range badClients {
			wg.Add(1)
			go func() {
				defer wg.Done()
				time.Sleep(calm + time.Duration(n)*5*time.Millisecond)
				for time.Now().Before(end) {
					playBadClient(c, n, listen, halfSize)
				}
			}()
		}
	}
	var mu sync.Mutex
	served, lost, refused, closedOnce := 0, 0, 0, 0
	for n := range usual {
		wg.Add(1)
		go func() {
			defer wg.Done()
			random := rand.New(rand.NewSource(int64(n)))
			var conn *httpConn
			for time.Now().Before(end) {
				statement := "SELECT day, count(*), max(note) FROM sales_17.orders WHERE id IN (" +
					strings.Repeat(fmt.Sprintf("'%012d', ", n), 2500) + "'0') GROUP BY day"
				id := fmt.Sprintf("%016x", random.Uint64())
				var got httpAnswer
				var err error
				for try := range 2 {
					if conn == nil {
						if conn, err = dialHTTP(listen); err != nil {
							break
						}
						// The front end has answered on the connection before the large statement comes.
						_ = conn.post("lookup", fmt.Sprintf("%016x", random.Uint64()), wait, "SELECT 1 FROM sales_17.a", "")
						if _, err = conn.answer(wait + time.Second); err != nil {
							_ = conn.Close()
							conn = nil
							break
						}
					}
					c.note("client %d sends %s, %d bytes", n, id, len(statement))
					sentAt := time.Now()
					if err = conn.post("lookup", id, wait, statement, ""); err == nil {
						got, err = conn.answer(wait + time.Second)
					}
					if err == nil {
						break
					}
					c.note("client %d: %s, try %d: %v after %v", n, id, try+1, err, time.Since(sentAt).Round(time.Millisecond))
					_ = conn.Close()
					conn = nil
					mu.Lock()
					closedOnce++
					mu.Unlock()
				}
				mu.Lock()
				switch {
				case err != nil && strings.Contains(err.Error(), "refused"):
				case err != nil:
					lost++
					c.breakRule("client %d: %s was sent, also again on a new connection, and has no answer: %v", n, id, err)
				case got.served():
					served++
				default:
					refused++
				}
				mu.Unlock()
				c.note("client %d: %s: %d %v", n, id, got.status, err)
				if got.close && conn != nil {
					_ = conn.Close()
					conn = nil
				}
				time.Sleep(100 * time.Millisecond)
			}
		}()
	}
	wg.Wait()
	c.note("served %d, refused or failed %d, closed without an answer %d, lost %d", served, refused, closedOnce, lost)
	if p.exited() {
		return fmt.Errorf("the front end has ended: %v", p.err)
	}
	if served < 20 {
		return fmt.Errorf("only %d statements were served", served)
	}
	return nil
}

// playBadClient sends most of a request and then nothing. It reads what it is sent, and ends when the front end
// closes the connection.
func playBadClient(c *run, n int, listen string, size int) {
	conn, err := net.DialTimeout("tcp", listen, time.Second)
	if err != nil {
		time.Sleep(50 * time.Millisecond)
		return
	}
	defer func() { _ = conn.Close() }()
	startedAt := time.Now()
	_, _ = fmt.Fprintf(conn, "POST /rpc/lookup HTTP/1.1\r\nHost: backend.local\r\nReq-Id: %016x\r\nReq-Wait-Ms: 2500\r\n"+
		"Content-Length: %d\r\n\r\n%s", rand.Uint64(), size+1000, strings.Repeat("x", size))
	buffer := make([]byte, 4096)
	_ = conn.SetReadDeadline(time.Now().Add(4 * time.Second))
	got := 0
	for {
		m, err := conn.Read(buffer)
		got += m
		if err != nil {
			break
		}
	}
	c.note("bad client %d: closed after %v, %d bytes", n, time.Since(startedAt).Round(time.Millisecond), got)
	time.Sleep(20 * time.Millisecond)
}
