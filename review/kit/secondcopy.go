package main

import (
	"fmt"
	"sync"
	"time"
)

const (
	copyEach  = 3                    // each third good answer of an engine comes twice
	copyDelay = 5 * time.Millisecond // "some milliseconds late"
	// insistFor is how long the bad client repeats one request the moment it is turned away.
	insistFor = 400 * time.Millisecond
)

// secondCopyCase: engines send some good answers twice. A bad client sends the id of an open request with a different
// statement, and the same thing again the moment it is turned away.
func secondCopyCase(e *environment) (broken bool, err error) {
	front, engines, err := e.deployment(engineCount, func(string) time.Duration { return lookupWork })
	if err != nil {
		return false, err
	}
	defer front.kill()
	e.rec.add("front end is ready at %s", front.addr)
	if e.trouble {
		for _, engine := range engines {
			engine.mu.Lock()
			engine.copyEach, engine.copyDelay = copyEach, copyDelay
			engine.mu.Unlock()
		}
	}
	var mu sync.Mutex
	var usualServed, badServed, foreign int
	open := make(chan opened) // the requests of which the bad client learns
	var clients, bad sync.WaitGroup
	stop := time.Now().Add(15 * time.Second)
	for n := range 3 {
		clients.Go(func() {
			c := &client{addr: front.addr, name: fmt.Sprintf("client %d", n), rec: e.rec}
			defer c.close()
			for i := 0; time.Now().Before(stop); i++ {
				statement := fmt.Sprintf("SELECT name, day, score FROM kids_%d.progress WHERE child = '%d-%d'", n+1, n, i)
				id := newID()
				if e.trouble {
					select {
					case open <- opened{id: id, statement: statement}:
					default: // the bad client is busy with another request
					}
				}
				a, err := c.callWithID(id, "lookup", statement, "", lookupWait, lookupWait+lateBound)
				if err != nil {
					e.rec.add("client %d could not send: %v", n, err)
					continue
				}
				e.rec.add("client %d  %v %v", n, a, a.rows)
				mu.Lock()
				if a.status == 200 && a.fault == "" && len(a.rows) > 0 {
					usualServed++
					if a.rows[0][1] != statementHash(statement) {
						foreign++
						e.rec.add("client %d  FOREIGN: its statement is %s", n, statementHash(statement))
					}
				}
				mu.Unlock()
				time.Sleep(100 * time.Millisecond)
			}
		})
	}
	bad.Go(func() {
		c := &client{addr: front.addr}
		defer c.close()
		for other := range open {
			time.Sleep(20 * time.Millisecond) // the other request is open now
			own := "SELECT a, b, c FROM kids_9.other WHERE a = 'different'"
			turnedAway := 0
			e.rec.add("bad client  sends lookup %s %q, and again when it is turned away", other.id, own)
			for began := time.Now(); time.Since(began) < insistFor; {
				a, err := c.callWithID(other.id, "lookup", own, "", lookupWait, lookupWait+lateBound)
				if err != nil {
					continue
				}
				if a.status == 409 {
					turnedAway++
					continue
				}
				e.rec.add("bad client  after %d times 409: %v %v", turnedAway, a, a.rows)
				if a.status != 200 || a.fault != "" || len(a.rows) == 0 {
					break
				}
				mu.Lock()
				badServed++
				if got := a.rows[0][1]; got != statementHash(own) {
					foreign++
					e.rec.add("bad client  FOREIGN: it sent statement %s and got the rows of statement %s, which %s sent: %v",
						statementHash(own), got, other.id, got == statementHash(other.statement))
				}
				mu.Unlock()
				break
			}
		}
	})
	clients.Wait()
	close(open)
	bad.Wait()
	e.rec.say("usual clients served: %d; bad client answered 200 with rows: %d; answers with foreign rows: %d",
		usualServed, badServed, foreign)
	if usualServed == 0 {
		return false, fmt.Errorf("no usual client was served")
	}
	return foreign > 0, nil
}

// opened is a request of a usual client whose id the bad client uses.
type opened struct{ id, statement string }
