package main

import (
	"encoding/json"
	"fmt"
	"math"
	"math/rand"
	"os"
	"path/filepath"
	"sync"
	"time"
)

func init() { cases["cold"] = playCold }

const (
	coldWork  = 100 * time.Millisecond // work of each request, on one thread
	coldCores = 8.0
	// coldSessions is how many requests an engine runs at once: 10 a core.
	coldSessions = 80
)

// coldEngine is the inside of an engine: it runs all that it is sent at once, and its cores are shared.
type coldEngine struct {
	mu        sync.Mutex
	startedAt time.Time // zero: long ago
	running   map[*coldJob]bool
	arrivals  []time.Time // since the start, within the window
	rules     *coldRules
	fallen    string // how the engine fell over; "": it did not
}

// coldRules are the figures of the settings.
type coldRules struct {
	start, tip   float64
	cold, window time.Duration
}

// overloaded counts an arrival at an engine that warms up, and reports the number within the window and the limit.
func (e *coldEngine) overloaded(now time.Time) (sent, limit float64) {
	e.arrivals = append(e.arrivals, now)
	for e.arrivals[0].Before(now.Add(-e.rules.window)) {
		e.arrivals = e.arrivals[1:]
	}
	n := e.rules.tip * e.share(now) * coldCores * float64(e.rules.window) / float64(coldWork)
	return float64(len(e.arrivals)), n + 2*math.Sqrt(n) + 2
}

type coldJob struct {
	left float64 // milliseconds of work
	done chan struct{}
}

// share is the present share of the engine's capacity: it grows evenly over the time to be warm.
func (e *coldEngine) share(at time.Time) float64 {
	if e.startedAt.IsZero() {
		return 1
	}
	return min(1, e.rules.start+(1-e.rules.start)*float64(at.Sub(e.startedAt))/float64(e.rules.cold))
}

func (e *coldEngine) tick(passed time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.running) == 0 {
		return
	}
	each := min(1, coldCores*e.share(time.Now())/float64(len(e.running)))
	for job := range e.running {
		job.left -= each * float64(passed) / float64(time.Millisecond)
		if job.left <= 0 {
			delete(e.running, job)
			close(job.done)
		}
	}
}

// run runs a request. It returns false if the engine is full, or has fallen over.
func (e *coldEngine) run() bool {
	now := time.Now()
	job := &coldJob{left: float64(coldWork) / float64(time.Millisecond), done: make(chan struct{})}
	e.mu.Lock()
	if !e.startedAt.IsZero() && e.fallen == "" {
		if sent, limit := e.overloaded(now); sent > limit {
			e.fallen = fmt.Sprintf("%v after its start, the engine got %.0f requests within %v, more than %.0f, and fell over",
				now.Sub(e.startedAt).Round(time.Millisecond), sent, e.rules.window, limit)
		}
	}
	if e.fallen != "" || len(e.running) >= coldSessions {
		e.mu.Unlock()
		return false
	}
	e.running[job] = true
	e.mu.Unlock()
	<-job.done
	return true
}

// playCold has a new engine join under load.
func playCold(c *run) error {
	const (
		fronts  = 24
		clients = 18 // of each front end
		engines = 6
		calm    = 9 * time.Second // until the engine joins
		after   = 6 * time.Second // from then on
	)
	text, err := os.ReadFile(filepath.Join(c.root, "examples/toy/config.json"))
	if err != nil {
		return err
	}
	var toy object
	if err := json.Unmarshal(text, &toy); err != nil {
		return err
	}
	settings := toy["settings"].(map[string]any)
	settings["balancers"] = fronts
	contract := settings["contract"].(map[string]any)
	rules := &coldRules{
		start:  contract["start-capacity"].(float64),
		tip:    contract["tip-multiple"].(float64),
		cold:   time.Duration(contract["cold-ms"].(float64)) * time.Millisecond,
		window: time.Duration(contract["fall-ms"].(float64)) * time.Millisecond,
	}
	var insides []*coldEngine
	var targets []object
	var addresses []string
	for i := range engines + 1 {
		inside := &coldEngine{running: map[*coldJob]bool{}, rules: rules}
		e := &lineEngine{id: fmt.Sprintf("s-%08x", i+1), serve: func(e *lineEngine, q lineRequest, conn *lineConn) {
			ran := inside.run()
			inside.mu.Lock()
			n, fallen := len(inside.running), inside.fallen != ""
			inside.mu.Unlock()
			if fallen { // it stays down
				e.die()
				return
			}
			if !ran {
				conn.say(q.id, "WAIT", "gauges=cpu:1;waiting:0;x1:0.1;x0:0.1", "")
				return
			}
			conn.say(q.id, "DONE", fmt.Sprintf("batches=1,cpu=%d,used=10,gauges=cpu:%.2f;waiting:0;x1:0.1;x0:0.1%s",
				coldWork.Milliseconds(), min(1, float64(n)/coldCores), map[bool]string{true: fmt.Sprintf(";inflight:%d", n)}[os.Getenv("INF") == "1"]), "a\t1\tx\n")
		}}
		address, err := e.listen("127.0.0.1:0")
		if err != nil {
			return err
		}
		addresses = append(addresses, address)
		insides = append(insides, inside)
		if i < engines {
			t := target(e.id, address, []string{"hall-a", "hall-b"}[i%2], i, 0)
			t["model"] = "std-8"
			targets = append(targets, t)
		}
	}
	go func() {
		last := time.Now()
		for {
			time.Sleep(2 * time.Millisecond)
			now := time.Now()
			for _, inside := range insides {
				inside.tick(now.Sub(last))
			}
			last = now
		}
	}()
	bus, busAddress, err := newEventBus()
	if err != nil {
		return err
	}
	var listens []string
	for i := range fronts {
		listen, err := freeAddress()
		if err != nil {
			return err
		}
		config, err := c.writeConfig(fmt.Sprintf("n%d", i), listen, busAddress, 192, 1024, settings, targets)
		if err != nil {
			return err
		}
		if _, _, err := c.startFrontEnd(config, listen); err != nil {
			return err
		}
		listens = append(listens, listen)
	}
	end := time.Now().Add(calm + after)
	var wg sync.WaitGroup
	var mu sync.Mutex
	counts := map[int]int{}
	for i := range fronts {
		for range clients {
			wg.Add(1)
			go func() {
				defer wg.Done()
				var conn *httpConn
				for time.Now().Before(end) {
					var err error
					if conn == nil {
						if conn, err = dialHTTP(listens[i]); err != nil {
							continue
						}
					}
					_ = conn.post("lookup", fmt.Sprintf("%016x", rand.Uint64()), 6*time.Second, "SELECT day FROM sales_17.orders WHERE tag = '3f9c'", "")
					a, err := conn.answer(8 * time.Second)
					mu.Lock()
					counts[a.status]++
					mu.Unlock()
					if err != nil || a.close {
						_ = conn.Close()
						conn = nil
					}
					if a.status != 200 {
						time.Sleep(time.Duration(200+rand.Intn(300)) * time.Millisecond)
					}
				}
			}()
		}
	}
	time.Sleep(calm)
	joining := insides[engines]
	if c.trouble {
		joining.mu.Lock()
		joining.startedAt = time.Now()
		joining.mu.Unlock()
		bus.publish(busRecord{id: fmt.Sprintf("s-%08x", engines+1), address: addresses[engines], startedMS: time.Now().UnixMilli()})
		c.note("an engine joins, cold")
	}
	wg.Wait()
	c.note("answers by status, 0 for none: %v", counts)
	if counts[200] < 500 {
		return fmt.Errorf("only %d requests were served", counts[200])
	}
	joining.mu.Lock()
	defer joining.mu.Unlock()
	if joining.fallen != "" {
		c.breakRule("%s", joining.fallen)
	}
	return nil
}
