package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

func init() { cases["memory"] = playMemory }

// residentMB returns the resident memory of a process in MB, or 0 if it has ended.
func residentMB(pid int) float64 {
	file, err := os.Open(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	defer func() { _ = file.Close() }()
	for in := bufio.NewScanner(file); in.Scan(); {
		if words := strings.Fields(in.Text()); len(words) >= 2 && words[0] == "VmRSS:" {
			kb, _ := strconv.ParseFloat(words[1], 64)
			return kb / 1024
		}
	}
	return 0
}

// playMemory has some bad clients send 60 MB each, in messages that the front end takes. The platform ends a front end
// that goes over its memory.
func playMemory(c *run) error {
	const (
		memoryMB   = 192
		badClients = 4
		messages   = 60
		size       = 990_000 // with what surrounds it, sixty messages stay under 60 MB
		usual      = 12
		calm       = 3 * time.Second
		after      = 9 * time.Second
	)
	var list []instance
	for i := range 6 {
		name := fmt.Sprintf("engine-%d", i+1)
		e := &pgEngine{name: name, execute: func(_ *pgEngine, x execution, _ net.Conn) ([]string, string, bool) {
			time.Sleep(100 * time.Millisecond)
			c.note("%s ran %v", name, x.values)
			return []string{"row of " + x.values[0]}, "SELECT 1", true
		}}
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
	p, log, err := c.startPostgres(file, listen)
	if err != nil {
		return err
	}
	time.Sleep(500 * time.Millisecond)

	var mu sync.Mutex
	killed := false
	most := 0.0
	go func() { // the platform
		for !p.exited() {
			used := residentMB(p.cmd.Process.Pid)
			mu.Lock()
			most = max(most, used)
			if used > memoryMB && !killed {
				killed = true
				c.note("the platform ends the front end: it uses %.0f MB of %d", used, memoryMB)
				_ = p.cmd.Process.Kill()
			}
			mu.Unlock()
			time.Sleep(20 * time.Millisecond)
		}
	}()

	end := time.Now().Add(calm + after)
	var wg sync.WaitGroup
	served, lost := 0, 0
	for n := range usual {
		wg.Add(1)
		go func() {
			defer wg.Done()
			var client *pgClient
			for i := 0; time.Now().Before(end); i++ {
				var err error
				if client == nil {
					if client, err = dialPostgres(listen); err != nil {
						time.Sleep(200 * time.Millisecond)
						continue
					}
				}
				key := fmt.Sprintf("part-%d-%d", n, i)
				c.note("client %d sends the statement for %s", n, key)
				answer, err := client.run("SELECT day FROM stock_17.orders WHERE part = $1", key)
				c.note("client %d: %s: %v %v", n, key, answer, err)
				mu.Lock()
				if err != nil {
					lost++
					_ = client.conn.Close()
					client = nil
				} else if answer.tag != "" {
					served++
				}
				mu.Unlock()
			}
		}()
	}
	time.Sleep(calm)
	if c.trouble {
		for n := range badClients {
			wg.Add(1)
			go func() {
				defer wg.Done()
				sent, err := prepareMuch(listen, messages, size, end)
				c.note("bad client %d sent %d bytes: %v", n, sent, err)
			}()
		}
	}
	wg.Wait()
	mu.Lock()
	defer mu.Unlock()
	c.note("served %d, without an answer %d, at most %.0f MB of %d", served, lost, most, memoryMB)
	fmt.Printf("at most %.0f MB of %d\n", most, memoryMB)
	if served < 50 {
		return errors.New("too few statements were served")
	}
	if killed {
		c.breakRule("the front end went over its memory and was ended; %d statements of usual clients have no answer", lost)
	} else if p.exited() {
		c.breakRule("the front end has ended: %v %s", p.err, log.String())
	}
	return nil
}

// prepareMuch sends many large statements to prepare, and reads whatever it is sent.
func prepareMuch(listen string, messages, size int, end time.Time) (sent int, err error) {
	client, err := dialPostgres(listen)
	if err != nil {
		return 0, err
	}
	defer func() { _ = client.conn.Close() }()
	go func() { _, _ = io.Copy(io.Discard, client.in) }()
	text := "SELECT day FROM stock_17.orders WHERE part = '" + strings.Repeat("x", size) + "'"
	for i := range messages {
		message := pgMessage('P', cstring(fmt.Sprintf("s%d", i)), cstring(text), number16(0))
		n, err := client.conn.Write(message)
		sent += n
		if err != nil {
			return sent, fmt.Errorf("after %d messages: %w", i, err)
		}
	}
	time.Sleep(time.Until(end))
	return sent, nil
}
