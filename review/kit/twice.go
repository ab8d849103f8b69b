package main

import (
	"errors"
	"fmt"
	"strings"
	"sync/atomic"
	"time"
)

const (
	// awardStatement calls a function of the deployment, of which the front end can't know that it only reads: it is
	// not in read_only_functions.
	awardStatement = "WITH due AS (SELECT child, points FROM stock_17.hints WHERE day = 7) " +
		"(SELECT child, points FROM due) ORDER BY points, award_points(child)"
	// controlStatement calls the same function in a place where the front end sees it.
	controlStatement = "SELECT award_points(child) FROM stock_17.hints WHERE day = 7"
)

// twiceCase: an engine of the second front dies when it has committed a statement that calls an unknown function.
func twiceCase(e *environment) (broken bool, err error) {
	var engines []*pgEngine
	var died atomic.Bool
	for i := range engineCount {
		engine, err := startPGEngine(e.rec, fmt.Sprintf("e%d", i+1), func(statement string) bool {
			// one engine of six, once
			return e.trouble && statement == awardStatement && !died.Swap(true)
		})
		if err != nil {
			return false, err
		}
		engines = append(engines, engine)
	}
	consul, err := startConsul("stock-engine", engines)
	if err != nil {
		return false, err
	}
	front, err := e.startPGFrontEnd(consul)
	if err != nil {
		return false, err
	}
	defer front.kill()
	var c *pgClient
	for deadline := time.Now().Add(20 * time.Second); ; time.Sleep(100 * time.Millisecond) {
		if c, err = dialPG(front.addr); err == nil {
			var result string
			if result, err = c.query("SELECT day FROM stock_17.orders WHERE tag = 'a'"); err == nil && result == "served" {
				break
			}
		}
		if time.Now().After(deadline) {
			return false, errors.Join(errors.New("the front end serves no look-up"), err)
		}
	}
	for i := range 5 {
		result, err := c.query(fmt.Sprintf("SELECT day FROM stock_17.orders WHERE tag = 'b%d'", i))
		if err != nil {
			return false, err
		}
		e.rec.add("client: look-up: %s", result)
	}
	run := func(statement string) (total int, result string, err error) {
		e.rec.add("client: sent %q", short(statement))
		result, err = c.query(statement)
		time.Sleep(500 * time.Millisecond)
		for _, engine := range engines {
			total += engine.count(statement)
		}
		e.rec.add("client: %q: %s; engines committed it %d times", short(statement), result, total)
		return total, result, err
	}
	if _, _, err := run(controlStatement); err != nil {
		return false, err
	}
	total, result, err := run(awardStatement)
	if err != nil {
		return false, err
	}
	e.rec.say("the statement with an unknown function: engines committed it %d times; the client got: %s", total, result)
	for _, line := range front.counters() { // for the reader; not judged
		if strings.HasPrefix(line, "count requests.accepted.") || strings.HasPrefix(line, "count attempts.retried") {
			e.rec.add("front end: %s", line)
		}
	}
	if total == 0 {
		return false, errors.New("no engine ran the statement")
	}
	return total > 1, nil
}
