package main

import (
	"fmt"
	"math/rand"
	"net"
	"strings"
	"sync"
	"time"
)

func init() { cases["copies"] = playCopies }

// playCopies has engines send some answers a second time, some milliseconds late.
func playCopies(c *run) error {
	const (
		clients = 16
		length  = 10 * time.Second
		oneIn   = 50
	)
	var list []instance
	for i := range 6 {
		name := fmt.Sprintf("engine-%d", i+1)
		e := &pgEngine{name: name, execute: func(_ *pgEngine, x execution, _ net.Conn) ([]string, string, bool) {
			time.Sleep(20 * time.Millisecond)
			c.note("%s ran %s %v", name, x.query, x.values)
			return []string{"row of " + x.values[0]}, "SELECT 1", true
		}}
		if c.trouble {
			e.afterAnswer = func(_ *pgEngine, x execution, conn net.Conn, answer []byte) {
				if rand.Intn(oneIn) == 0 {
					time.Sleep(time.Duration(1+rand.Intn(5)) * time.Millisecond)
					c.note("%s sends the answer to %v a second time", name, x.values)
					_, _ = conn.Write(answer)
				}
			}
		}
		address, err := e.listen()
		if err != nil {
			return err
		}
		list = append(list, instance{id: name, address: address, zone: []string{"hall-a", "hall-b"}[i%2]})
	}
	_, consulAddress, err := newConsul(list)
	if err != nil {
		return err
	}
	listen, err := freeAddress()
	if err != nil {
		return err
	}
	file, err := c.writePostgresFiles(listen, consulAddress, func(map[string]any) {})
	if err != nil {
		return err
	}
	if _, _, err := c.startPostgres(file, listen); err != nil {
		return err
	}
	time.Sleep(500 * time.Millisecond)
	var wg sync.WaitGroup
	var mu sync.Mutex
	served := 0
	end := time.Now().Add(length)
	for n := range clients {
		wg.Add(1)
		go func() {
			defer wg.Done()
			var client *pgClient
			for i := 0; time.Now().Before(end); i++ {
				var err error
				if client == nil {
					if client, err = dialPostgres(listen); err != nil {
						c.note("client %d: %v", n, err)
						time.Sleep(100 * time.Millisecond)
						continue
					}
				}
				key := fmt.Sprintf("part-%d-%d", n, i)
				c.note("client %d sends the statement for %s", n, key)
				answer, err := client.run("SELECT day FROM stock_17.orders WHERE part = $1", key)
				c.note("client %d: %s: %v %v", n, key, answer, err)
				if err != nil {
					_ = client.conn.Close()
					client = nil
					continue
				}
				if answer.tag != "" {
					mu.Lock()
					served++
					mu.Unlock()
					if got := strings.Join(answer.rows, ","); got != "row of "+key {
						c.breakRule("client %d asked for %s and was served %q", n, key, got)
					}
				}
			}
		}()
	}
	wg.Wait()
	if served < 200 {
		return fmt.Errorf("only %d statements were served", served)
	}
	return nil
}
