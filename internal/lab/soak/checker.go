package soak

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// Allowances of the checker.
const (
	// tolerance is the largest allowed difference between the times that two processes record for the
	// same event.
	tolerance = 100 * time.Millisecond
	// reportedEndTolerance replaces tolerance if the earlier of two attempts ended with a response, because an
	// engine process reports such an end before it writes the response.
	reportedEndTolerance = 5 * time.Millisecond
	// remainingTimeSlack is added to the client's remaining time. The sum is the longest time that an engine may
	// be given.
	remainingTimeSlack = 150 * time.Millisecond
	// disconnectGrace is the time after the client's disconnect during which an attempt may still begin.
	disconnectGrace = 100 * time.Millisecond
	// notificationGraceAfterFault is used in three ways:
	//   - After the start of a bus fault, at least this time passes until all front ends count as notified of the
	//     changes that were published during the fault.
	//   - A move of the bus to another address counts as a bus fault of this duration.
	//   - A front end that becomes ready within this time after the publication of a change delays the
	//     notification of the change.
	notificationGraceAfterFault = 4 * time.Second
	// notificationSlack is the time within which front ends are notified of the changes that they have missed.
	// It begins at the end of a bus fault's span in the history, or when a front end becomes ready.
	notificationSlack = time.Second
)

// checker reads the history of a completed run and collects the violations. It is not safe for concurrent use.
type checker struct {
	history    *history
	readyTimes map[string][]time.Time // when each process of a front end became ready, by front end
	violations []Violation
}

// check returns all violations: the violations that were recorded earlier, followed by the violations that
// the checker finds in the history.
func (h *history) check(readyTimes map[string][]time.Time) []Violation {
	h.mu.Lock()
	defer h.mu.Unlock()
	c := &checker{history: h, readyTimes: readyTimes, violations: slices.Clone(h.violations)}
	byRequest := map[string][]*attempt{}
	for _, a := range h.attempts {
		byRequest[a.requestID] = append(byRequest[a.requestID], a)
	}
	for _, r := range h.requests {
		attempts := byRequest[r.id]
		sortByStart(attempts)
		c.checkRequest(r, attempts)
	}
	c.checkDrainedEngines()
	c.checkSlowStarts()
	return c.violations
}

func sortByStart(attempts []*attempt) {
	slices.SortFunc(attempts, func(a, b *attempt) int { return a.beganAt.Compare(b.beganAt) })
}

func (c *checker) report(rule Rule, requestID, format string, args ...any) {
	c.violations = append(c.violations, Violation{Rule: rule, Request: requestID, Detail: fmt.Sprintf(format, args...)})
}

// checkRequest checks a request with its attempts, which must be sorted by their start.
func (c *checker) checkRequest(req *request, attempts []*attempt) {
	description := describeAttempts(attempts, req.sentAt)
	if req.outcome == outcomeLost {
		c.report(RuleResponse, req.id, "%s at %s: %s; attempts: %s", req.class, req.frontEnd, req.detail, description)
	}
	if len(attempts) > maxAttempts {
		c.report(RuleRetryLimit, req.id, "%s", description)
	}
	runs := 0
	for i, a := range attempts {
		if a.response != responseRejected {
			runs++
		}
		c.checkAttempt(req, a)
		if i > 0 {
			c.checkOverlap(req, attempts[i-1], a)
		}
	}
	if req.class == classWrite && runs > 1 {
		c.report(RuleRetryIdempotency, req.id, "%s", description)
	}
}

// checkAttempt checks the remaining time that the engine was given, and that the attempt did not begin after the
// client had disconnected.
func (c *checker) checkAttempt(r *request, a *attempt) {
	if a.delayed {
		return
	}
	waited := c.processorWait(r.sentAt, a.beganAt)
	if remaining := r.deadline().Sub(a.beganAt); a.remainingTime > remaining+remainingTimeSlack+waited {
		c.report(RuleRemainingTime, r.id, "the engine was given %v, but %v remained", a.remainingTime, remaining)
	}
	latestStart := r.endedAt.Add(disconnectGrace + tolerance + c.processorWait(r.endedAt, a.beganAt))
	if r.outcome == outcomeDisconnected && a.beganAt.After(latestStart) {
		since := a.beganAt.Sub(r.endedAt)
		c.report(RuleSendAfterDisconnect, r.id, "an attempt began %v after the client had disconnected", since)
	}
}

// checkOverlap checks that an attempt ended before the next attempt began.
func (c *checker) checkOverlap(r *request, earlier, later *attempt) {
	// If an attempt ends without a response right after its start, the engine has read it from a connection that
	// the front end had already closed.
	readAfterClose := later.response == responseNone && !later.endedAt.IsZero() &&
		later.endedAt.Sub(later.beganAt) < tolerance
	if earlier.delayed || later.delayed || readAfterClose {
		return
	}
	allowed := tolerance
	if earlier.response != responseNone {
		allowed = reportedEndTolerance
	}
	allowed += c.processorWait(later.beganAt, earlier.endedAt)
	if earlier.endedAt.IsZero() || earlier.endedAt.After(later.beganAt.Add(allowed)) {
		c.report(RuleSingleInFlight, r.id, "%s", describeAttempts([]*attempt{earlier, later}, r.sentAt))
	}
}

// processorWait returns how long processes of the run waited for a processor between two times. On a busy machine,
// clients and engines may record times late by up to this duration. Such a delay is not an error of the front end.
func (c *checker) processorWait(from, until time.Time) (sum time.Duration) {
	for _, w := range c.history.processorWaits {
		if w.from.Before(until) && w.until.After(from) {
			sum += w.duration
		}
	}
	return sum
}

// describeAttempts lists the attempts. The starts and ends are given as times after since.
func describeAttempts(attempts []*attempt, since time.Time) string {
	var text strings.Builder
	for _, a := range attempts {
		end := "in flight"
		if !a.endedAt.IsZero() {
			end = a.endedAt.Sub(since).Round(time.Millisecond).String()
		}
		start := a.beganAt.Sub(since).Round(time.Millisecond)
		fmt.Fprintf(&text, "[%s %v to %s %s]", a.engine, start, end, a.response)
	}
	return text.String()
}

// notifiedAt returns the time from which all front ends count as notified of a change: the time at which the
// change was published, or a later time if a bus fault or the start of a front end delayed the notification.
func (c *checker) notifiedAt(change engineChange) time.Time {
	notified := change.publishedAt
	delayUntil := func(t time.Time) {
		if t.After(notified) {
			notified = t
		}
	}
	for _, fault := range c.history.busFaults {
		if (span{fault.from.Add(-tolerance), fault.until}).contains(change.publishedAt) {
			delayUntil(fault.from.Add(notificationGraceAfterFault))
			delayUntil(fault.until.Add(notificationSlack))
		}
	}
	for _, readyTimes := range c.readyTimes {
		for _, ready := range readyTimes {
			if ready.After(change.publishedAt) && ready.Before(change.publishedAt.Add(notificationGraceAfterFault)) {
				delayUntil(ready.Add(notificationSlack))
			}
		}
	}
	return notified
}

// checkDrainedEngines checks that no attempt begins at a draining or removed engine after all front ends
// have been notified of the change and drainGrace has passed.
func (c *checker) checkDrainedEngines() {
	for _, change := range c.history.changes {
		if change.state == stateReady {
			continue
		}
		latestStart := c.notifiedAt(change).Add(drainGrace + tolerance)
		for _, a := range c.history.attempts {
			if a.engine != change.engine || a.delayed {
				continue
			}
			if a.beganAt.After(latestStart) && !c.readyAgain(change, a.beganAt) {
				since := a.beganAt.Sub(change.publishedAt)
				c.report(RuleDrainedEndpoint, a.requestID,
					"%s: an attempt began %v after the change was published", a.engine, since)
			}
		}
	}
}

// readyAgain reports whether a later change made the engine ready before the given time.
func (c *checker) readyAgain(change engineChange, at time.Time) bool {
	return slices.ContainsFunc(c.history.changes, func(later engineChange) bool {
		return later.engine == change.engine && later.state == stateReady &&
			later.publishedAt.After(change.publishedAt) && later.publishedAt.Before(at)
	})
}
