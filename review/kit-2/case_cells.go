package main

import (
	"fmt"
	"net"
	"sync"
	"time"
)

func init() { cases["cells"] = playCells }

// cell is a small set of engines that share which keys they have seen.
type cell struct {
	mu   sync.Mutex
	seen map[string]bool
}

// first reports whether the cell sees the key for the first time.
func (c *cell) first(key string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.seen[key] {
		return false
	}
	c.seen[key] = true
	return true
}

// playCells has an engine die while it runs loads whose class is discarded twice only within a cell.
func playCells(c *run) error {
	const (
		commitAfter = 150 * time.Millisecond // from the arrival of a load to its commit
		answerAfter = 150 * time.Millisecond // from the commit to the answer
		clients     = 60
		calm        = 4 * time.Second // until the engine dies
		after       = 4 * time.Second // from then on
	)
	var mu sync.Mutex
	applied := map[string][]string{} // by key, the engines and cells that applied it
	cells := map[string]*cell{}
	var engines []*pgEngine
	var list []instance
	// Eight engines in two halls, two engines a cell.
	for i, at := range []struct{ zone, cell string }{
		{"hall-a", "1"}, {"hall-a", "1"}, {"hall-a", "2"}, {"hall-a", "2"},
		{"hall-b", "3"}, {"hall-b", "3"}, {"hall-b", "4"}, {"hall-b", "4"},
	} {
		if cells[at.cell] == nil {
			cells[at.cell] = &cell{seen: map[string]bool{}}
		}
		name := fmt.Sprintf("engine-%d", i+1)
		place := fmt.Sprintf("%s (%s, cell %s)", name, at.zone, at.cell)
		own := cells[at.cell]
		e := &pgEngine{name: name, execute: func(_ *pgEngine, x execution, _ net.Conn) ([]string, string, bool) {
			key := x.values[0]
			time.Sleep(commitAfter)
			if own.first(key) {
				mu.Lock()
				applied[key] = append(applied[key], place)
				mu.Unlock()
				c.note("%s applied %s", place, key)
			} else {
				c.note("%s discarded the repeat of %s", place, key)
			}
			time.Sleep(answerAfter)
			return nil, "INSERT 0 1", true
		}}
		address, err := e.listen()
		if err != nil {
			return err
		}
		engines = append(engines, e)
		list = append(list, instance{id: name, address: address, zone: at.zone})
	}
	_, consulAddress, err := newConsul(list)
	if err != nil {
		return err
	}
	listen, err := freeAddress()
	if err != nil {
		return err
	}
	file, err := c.writePostgresFiles(listen, consulAddress, func(settings map[string]any) {
		settings["kinds"] = []string{"std-8"}
		settings["zones"] = []string{"hall-a", "hall-b"}
		classOf(settings, "load")["group"] = "cell"
	})
	if err != nil {
		return err
	}
	if _, _, err := c.startPostgres(file, listen); err != nil {
		return err
	}
	time.Sleep(500 * time.Millisecond)
	var wait sync.WaitGroup
	end := time.Now().Add(calm + after)
	served := 0
	for n := range clients {
		wait.Add(1)
		go func() {
			defer wait.Done()
			for i := 0; time.Now().Before(end); i++ {
				client, err := dialPostgres(listen)
				if err != nil {
					c.note("client %d: %v", n, err)
					time.Sleep(100 * time.Millisecond)
					continue
				}
				key := fmt.Sprintf("key-%d-%d", n, i)
				c.note("client %d sends the load %s", n, key)
				answer, err := client.run("INSERT INTO stock_17.parts (id, day) VALUES ($1, $2)", key, "2026-12-01")
				_ = client.conn.Close()
				c.note("client %d: %s: %v %v", n, key, answer, err)
				mu.Lock()
				if answer.tag != "" {
					served++
				}
				mu.Unlock()
			}
		}()
	}
	time.Sleep(calm)
	if c.trouble {
		c.note("%s dies", engines[0].name)
		engines[0].die()
	}
	wait.Wait()
	time.Sleep(500 * time.Millisecond)
	mu.Lock()
	defer mu.Unlock()
	c.note("%d loads served", served)
	if served < 50 {
		return fmt.Errorf("only %d loads were served", served)
	}
	for key, places := range applied {
		if len(places) > 1 {
			c.breakRule("the load %s was applied %d times: %v", key, len(places), places)
		}
	}
	return nil
}
