package soak

import (
	"fmt"
	"math"
	"slices"
	"time"
)

// Rules that the oracle checks, beside the front ends' own counters of violations.
const (
	ruleAnswer       = "every request has one whole answer in time"
	ruleWholeAnswer  = "an answer 'served' holds what an engine made"
	ruleRetryAfter   = "a rejection says when to come back"
	ruleBadClient    = "a bad client gets an answer or a close"
	ruleAttempts     = "a request has three attempts at most"
	ruleInFlight     = "one attempt of a request is in flight at a time"
	ruleRepeat       = "a request that is not idempotent runs once"
	ruleGone         = "nothing begins for a client that has left"
	ruleTimeLeft     = "an engine is given no more time than the client has"
	ruleDrain        = "nothing begins at an engine that drains or is gone"
	ruleSlowStart    = "a cold engine is not overloaded"
	ruleProcess      = "a front end serves until it is told to end, and then ends"
	ruleInvariant    = "a front end counts no violation"
	tolerance        = 100 * time.Millisecond // of times that two processes take
	timeLeftSlack    = 150 * time.Millisecond
	goneGrace        = 100 * time.Millisecond
	toldAfterTrouble = 4 * time.Second // what the bus would have told counts as told this long after a trouble began
	toldSlack        = time.Second     // for a front end that has just started
)

// Violation is one break of a rule.
type Violation struct {
	Rule    string
	Request string // id; "": of no single request
	Detail  string
}

// String describes the violation in one line.
func (v Violation) String() string {
	if v.Request == "" {
		return v.Rule + ": " + v.Detail
	}
	return v.Rule + ": request " + v.Request + ": " + v.Detail
}

// oracle checks the history of a run that has ended.
type oracle struct {
	history    *history
	starts     map[string][]time.Time // of front ends, when they were ready, by name
	violations []Violation
}

// judge returns all violations.
func (h *history) judge(starts map[string][]time.Time) []Violation {
	h.mu.Lock()
	defer h.mu.Unlock()
	o := &oracle{history: h, starts: starts, violations: slices.Clone(h.violations)}
	byRequest := map[string][]*attempt{}
	for _, a := range h.attempts {
		byRequest[a.requestID] = append(byRequest[a.requestID], a)
	}
	for _, r := range h.requests {
		attempts := byRequest[r.id]
		slices.SortFunc(attempts, func(a, b *attempt) int { return a.beganAt.Compare(b.beganAt) })
		o.checkRequest(r, attempts)
	}
	o.checkDrains()
	o.checkSlowStarts()
	return o.violations
}

func (o *oracle) report(rule, requestID, format string, args ...any) {
	o.violations = append(o.violations, Violation{Rule: rule, Request: requestID, Detail: fmt.Sprintf(format, args...)})
}

func (o *oracle) checkRequest(r *request, attempts []*attempt) {
	if r.outcome == outcomeLost {
		o.report(ruleAnswer, r.id, "%s at %s: %s; attempts: %s", r.class, r.frontEnd, r.detail, describe(attempts, r.sentAt))
	}
	if len(attempts) > maxAttempts {
		o.report(ruleAttempts, r.id, "%s", describe(attempts, r.sentAt))
	}
	runs := 0
	for i, a := range attempts {
		if a.word != wordFull {
			runs++
		}
		if left := r.sentAt.Add(r.wait).Sub(a.beganAt); !a.proxied && a.timeLeft > left+timeLeftSlack {
			o.report(ruleTimeLeft, r.id, "%v given, %v left", a.timeLeft, left)
		}
		if r.outcome == outcomeLeft && !a.proxied && a.beganAt.After(r.endedAt.Add(goneGrace+tolerance)) {
			o.report(ruleGone, r.id, "an attempt began %v after the client had left", a.beganAt.Sub(r.endedAt))
		}
		if i > 0 {
			o.checkPair(r, attempts[i-1], a)
		}
	}
	if r.class == classWrite && runs > 1 {
		o.report(ruleRepeat, r.id, "%s", describe(attempts, r.sentAt))
	}
}

// checkPair checks that an attempt had ended when the next began.
func (o *oracle) checkPair(r *request, earlier, later *attempt) {
	// One that ends as it begins was read behind the end of its connection.
	readBehindEnd := later.word == "" && !later.endedAt.IsZero() && later.endedAt.Sub(later.beganAt) < tolerance
	if earlier.proxied || later.proxied || readBehindEnd {
		return
	}
	allowed := tolerance
	if earlier.word != "" { // its end is reported before it is written
		allowed = 5 * time.Millisecond
	}
	if earlier.endedAt.IsZero() || earlier.endedAt.After(later.beganAt.Add(allowed)) {
		o.report(ruleInFlight, r.id, "%s", describe([]*attempt{earlier, later}, r.sentAt))
	}
}

func describe(attempts []*attempt, since time.Time) string {
	text := ""
	for _, a := range attempts {
		end := "open"
		if !a.endedAt.IsZero() {
			end = a.endedAt.Sub(since).Round(time.Millisecond).String()
		}
		text += fmt.Sprintf("[%s %v to %s %s]", a.engine, a.beganAt.Sub(since).Round(time.Millisecond), end, a.word)
	}
	return text
}

// toldBy returns when every front end counts as told of a change.
func (o *oracle) toldBy(c engineChange) time.Time {
	told := c.toldAt
	later := func(t time.Time) {
		if t.After(told) {
			told = t
		}
	}
	for _, trouble := range o.history.busTrouble {
		if !c.toldAt.Before(trouble.from.Add(-tolerance)) && !c.toldAt.After(trouble.until) {
			later(trouble.from.Add(toldAfterTrouble))
			later(trouble.until.Add(toldSlack))
		}
	}
	for _, starts := range o.starts {
		for _, ready := range starts {
			if ready.After(c.toldAt) && ready.Before(c.toldAt.Add(toldAfterTrouble)) {
				later(ready.Add(toldSlack))
			}
		}
	}
	return told
}

func (o *oracle) checkDrains() {
	for _, c := range o.history.changes {
		if c.state == stateReady {
			continue
		}
		until := o.toldBy(c).Add(drainGrace + tolerance)
		for _, a := range o.history.attempts {
			if a.engine == c.engine && !a.proxied && a.beganAt.After(until) && !o.readyAgain(c, a.beganAt) {
				o.report(ruleDrain, a.requestID, "%s: began %v after the notice", a.engine, a.beganAt.Sub(c.toldAt))
			}
		}
	}
}

// readyAgain reports whether a later change had the engine ready before the time.
func (o *oracle) readyAgain(c engineChange, at time.Time) bool {
	return slices.ContainsFunc(o.history.changes, func(later engineChange) bool {
		return later.engine == c.engine && later.state == stateReady && later.toldAt.After(c.toldAt) && later.toldAt.Before(at)
	})
}

// checkSlowStarts checks each window after a start that front ends had been told of.
func (o *oracle) checkSlowStarts() {
	meanWork := o.meanWork()
	for _, c := range o.history.changes {
		if c.startedAt.IsZero() {
			continue
		}
		told := o.toldBy(c)
		var sent []*attempt
		for _, a := range o.history.attempts {
			if a.engine == c.engine && !a.proxied && !a.beganAt.Before(told) && a.beganAt.Before(c.startedAt.Add(coldTime)) {
				sent = append(sent, a)
			}
		}
		slices.SortFunc(sent, func(a, b *attempt) int { return a.beganAt.Compare(b.beganAt) })
		for first, from := range sent {
			work := 0.0 // in requests of mean work
			for _, a := range sent[first:] {
				if a.beganAt.Before(from.beganAt.Add(overloadWindow)) {
					work += workTimes[a.class].Seconds() / meanWork
				}
			}
			sinceStart := from.beganAt.Sub(c.startedAt)
			if limit := coldLimit(sinceStart, meanWork); work > limit {
				o.report(ruleSlowStart, "", "%s: %.0f requests of mean work in a window from %v after its start, %.0f at most", c.engine, work, sinceStart.Round(time.Millisecond), limit)
				break
			}
		}
	}
}

// meanWork is the mean work of a request, in seconds of one core.
func (o *oracle) meanWork() float64 {
	sum, count := 0.0, 0
	for _, a := range o.history.attempts {
		if a.workTime > 0 {
			sum += a.workTime.Seconds()
			count++
		}
	}
	return max(sum/float64(max(count, 1)), time.Millisecond.Seconds())
}

// coldLimit is how many requests of mean work a cold engine bears in a window.
func coldLimit(sinceStart time.Duration, meanWork float64) float64 {
	grown := min(max(float64(sinceStart)/float64(coldTime), 0), 1)
	capacity := startCapacity + (1-startCapacity)*grown
	n := overloadFactor * capacity * engineCores * overloadWindow.Seconds() / max(meanWork, 1e-3)
	if n < 30 {
		return n + 3*math.Sqrt(n) + 3
	}
	return n + 2*math.Sqrt(n) + 2
}
