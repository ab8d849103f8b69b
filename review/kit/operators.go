package main

import (
	"fmt"
	"io"
	"net"
	"os"
	"strings"
	"sync"
	"time"
)

const (
	// lateBound is how long after its time a request may get its answer: half a second by the page on the standing
	// test, and 50 ms by which each limit grows on sockets.
	lateBound = 550 * time.Millisecond

	lookupWait = 2500 * time.Millisecond // the give-up time of the class
	lookupWork = 100 * time.Millisecond

	engineCount = 6 // "Today 6 to 8 engines"

	// badBytes is the size of the one bad request's body.
	badBytes = 96000
)

// operatorsCase: usual clients send look-ups; one bad client sends one statement that can't be read.
func operatorsCase(e *environment) (broken bool, err error) {
	work := func(string) time.Duration { return lookupWork }
	front, _, err := e.deployment(engineCount, work)
	if err != nil {
		return false, err
	}
	defer front.kill()
	listen := front.addr
	e.rec.add("front end is ready at %s", listen)

	const (
		troubleAt = 4 * time.Second
		endAt     = 12 * time.Second
	)
	started := time.Now()
	var mu sync.Mutex
	var sent, answered, lost int
	usual := func(n int) {
		c := &client{addr: listen, name: fmt.Sprintf("client %d", n), rec: e.rec}
		defer c.close()
		time.Sleep(time.Duration(n) * 20 * time.Millisecond)
		for time.Since(started) < endAt {
			a, err := c.call("lookup", fmt.Sprintf("SELECT a, b, c FROM sales_%d.orders WHERE tag = '3f9c'", n+1), "",
				lookupWait, lookupWait+lateBound)
			if err != nil {
				e.rec.add("client %d could not send: %v", n, err)
				time.Sleep(200 * time.Millisecond)
				continue
			}
			mu.Lock()
			switch {
			case a.status != 0:
				sent++
				answered++
				e.rec.add("client %d  %v", n, a)
			case a.previous > 0 && front.running():
				// Judged: the connection had served requests before, so this one is not the first on it.
				sent++
				lost++
				e.rec.add("client %d  %v; LOST: it is over its time of %v by more than %v", n, a, a.wait, lateBound)
			default:
				e.rec.add("client %d  %v; not judged: the first on its connection", n, a)
			}
			mu.Unlock()
			time.Sleep(150 * time.Millisecond)
		}
	}
	silence := e.watchHealth(front)
	var clients sync.WaitGroup
	for n := range 8 {
		clients.Go(func() { usual(n) })
	}
	time.Sleep(time.Until(started.Add(troubleAt)))
	cpuBefore := front.cpuSeconds()
	badDone := make(chan struct{})
	go func() {
		defer close(badDone)
		if e.trouble {
			badClient(e, listen)
		}
	}()
	clients.Wait()
	e.rec.add("the front end has used %.1f s of processor time in the %.1f s since %v",
		front.cpuSeconds()-cpuBefore, (time.Since(started) - troubleAt).Seconds(), troubleAt)
	select {
	case <-badDone:
	case <-time.After(45 * time.Second):
		e.rec.add("bad client: still no answer")
	}
	e.rec.say("longest time without an answer to GET /health: %.1f s; the front end runs: %v", silence().Seconds(), front.running())
	e.rec.say("usual requests: %d judged, %d answered, %d lost", sent, answered, lost)
	if answered == 0 {
		log, _ := os.ReadFile(front.log)
		return false, fmt.Errorf("no request was answered; log of the front end: %.2000s", log)
	}
	return lost > 0 || !front.running(), nil
}

// watchHealth calls GET /health on a new connection every 200 ms. The returned function ends this and returns the longest
// time without an answer.
func (e *environment) watchHealth(front *frontEnd) (longest func() time.Duration) {
	stop, done := make(chan struct{}), make(chan time.Duration)
	go func() {
		var longest time.Duration
		latest := time.Now()
		for {
			if front.healthy(time.Second) {
				latest = time.Now()
			}
			longest = max(longest, time.Since(latest))
			select {
			case <-stop:
				done <- longest
				return
			case <-time.After(200 * time.Millisecond):
			}
		}
	}()
	return func() time.Duration {
		close(stop)
		return <-done
	}
}

// badClient sends one request with a statement that can't be read, and reads whatever it is sent.
func badClient(e *environment, addr string) {
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		e.rec.add("bad client: %v", err)
		return
	}
	defer conn.Close()
	body := strings.Repeat("+-", badBytes/2)
	began := time.Now()
	fmt.Fprintf(conn, "POST /rpc/lookup HTTP/1.1\r\nHost: backend.local\r\nReq-Id: %s\r\nReq-Wait-Ms: 2500\r\nContent-Length: %d\r\n\r\n%s",
		newID(), len(body), body)
	e.rec.add("bad client: sent one request of %d bytes", len(body))
	conn.SetDeadline(time.Now().Add(60 * time.Second))
	head := make([]byte, 512)
	n, err := io.ReadAtLeast(conn, head, 12)
	e.rec.add("bad client: first answer after %.1f s: %.40q (%v)", time.Since(began).Seconds(), head[:n], err)
}
