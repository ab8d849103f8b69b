package policy

import (
	"fmt"
	"slices"
	"time"
)

const (
	silentIntervals       = 2.6  // progress intervals without a report after which an attempt is silent
	lostAnswerIntervals   = 2.2  // the same, while the engine reports others, after which its answer is lost
	waitingLostIntervals  = 13.0 // the same for an attempt that waits, which is reported less often
	stalledAfterLost      = 2    // answers of a class lost in a row after which it is stalled on an engine
	overdueDeviations     = 3.0  // mean deviations of latency after which an attempt is overdue
	faultWeight           = 0.4  // weight of a failed connection in the fault rate; of an error, half
	ejectionFaultRate     = 0.6  // fault rate above which an engine is ejected: one error is not enough
	overloadPeriods       = 4    // control periods for which an overloaded engine's bound applies
	readmissionBoundShare = 0.25 // of its initial bound that a readmitted engine starts with
)

// silenceTimeout is the time without a progress report after which an attempt is silent.
func silenceTimeout(s *Settings) time.Duration {
	timeout := time.Duration(silentIntervals * float64(s.ProgressInterval))
	if s.ProgressInterval == 0 {
		for _, c := range s.Classes {
			timeout = max(timeout, c.LatencyObjective)
		}
	}
	return timeout
}

// detectSilence ejects an engine when all its attempts are silent. One attempt alone must be silent for
// twice as long. Pauses of this process don't count.
func (b *Balancer) detectSilence(e *engine) {
	if len(e.inFlight) == 0 {
		return
	}
	silentAttempts := 0
	for _, a := range slices.Clone(e.inFlight) {
		if b.settings.ProgressInterval == 0 {
			b.detectOverdue(a)
		} else if !a.streaming {
			if b.now-max(a.lastHeardAt, b.resumedAt) > b.silenceTimeout {
				silentAttempts++
			}
			b.detectLostAnswer(a)
		}
	}
	silence := b.now - max(e.lastHeardAt, e.inFlight[0].sentAt, b.resumedAt)
	timeout := b.silenceTimeout
	if silentAttempts >= 2 && silence > timeout || silentAttempts == 1 && silence > 2*timeout {
		b.eject(e, "all attempts are silent")
		for _, a := range e.inFlight {
			if a.request.class.Effect == Idempotent {
				b.retryElsewhere(a)
			}
		}
	}
}

// detectLostAnswer retries an attempt whose engine reports others but has long not reported this one.
func (b *Balancer) detectLostAnswer(a *attempt) {
	e, c, intervals := a.engine, a.request.class, lostAnswerIntervals
	if a.waiting {
		intervals = waitingLostIntervals
	}
	silence := float64(b.now - max(a.lastHeardAt, b.resumedAt))
	engineSilent := b.now-e.lastHeardAt > b.silenceTimeout
	if a.answerLost || silence < intervals*float64(b.settings.ProgressInterval) || engineSilent {
		return
	}
	a.answerLost = true
	e.lostAnswers[c]++
	if e.lostAnswers[c] >= stalledAfterLost {
		e.stalledUntil[c] = b.now + 2*b.silenceTimeout
	}
	if c.Effect != NonIdempotent {
		b.retryElsewhere(a)
	}
}

// classStalled reports whether a class is stalled on the engine. After a while single requests may probe it.
func (b *Balancer) classStalled(e *engine, c *class) bool {
	if e.lostAnswers[c] < stalledAfterLost {
		return false
	}
	until := e.stalledUntil[c]
	return b.now < until || slices.ContainsFunc(e.inFlight, func(a *attempt) bool {
		return a.request.class == c && a.sentAt >= until
	})
}

// detectOverdue replaces progress reports where engines send none: an attempt in flight for longer
// than the class's latencies usually vary is retried while a retry would meet the objective.
func (b *Balancer) detectOverdue(a *attempt) {
	req, inFlightMs := a.request, milliseconds(b.now-max(a.sentAt, b.resumedAt))
	overdueMs := req.usualLatencyMs() * (1 + overdueDeviations*req.class.latencySpread)
	if inFlightMs > overdueMs && req.class.Effect == Idempotent &&
		b.meetsObjective(req, req.attempts[0].sentAt) && b.retryElsewhere(a) {
		b.recordFault(a.engine, faultWeight/4, "answers stay out")
	}
}

// recordConnectionFault counts connections that break together as one fault.
func (b *Balancer) recordConnectionFault(e *engine, result Result) {
	if b.now-e.connectionLostAt >= tickInterval || result == ResultConnectFailed {
		b.recordFault(e, faultWeight, "connections fail")
	}
	e.connectionLostAt = b.now
}

// recordFault counts an error or a failed connection: engines that fail fast seem to have capacity.
func (b *Balancer) recordFault(e *engine, weight float64, cause string) {
	e.faultRate = ewmaWeighted(e.faultRate, 1, weight)
	if e.faultRate > ejectionFaultRate {
		e.ejectedForFaults = true
		b.eject(e, cause)
	}
}

func (b *Balancer) eject(e *engine, cause string) {
	if !e.ejected {
		e.ejected = true
		e.probationAt = b.now + 2*b.silenceTimeout
		b.emit(Log{fmt.Sprintf("engine %s suspect: %s; %d attempts out", e.id, cause, len(e.inFlight))})
	}
}

// probation permits an idle ejected engine one idempotent request every two silence timeouts.
func (b *Balancer) probation(req *request, e *engine) bool {
	retried, idle := len(req.attempts) > 0, len(e.inFlight) == 0
	if req.class.Effect != Idempotent || !idle || retried || b.now < e.probationAt || !b.mayStart(req, e) {
		return false
	}
	e.probationAt = b.now + 2*b.silenceTimeout
	return true
}

// onActivity notes a progress report or answer of an attempt: neither its class nor its engine is stalled.
func (b *Balancer) onActivity(a *attempt) {
	delete(a.engine.lostAnswers, a.request.class)
	b.readmit(a.engine)
	b.withdrawRestart(a)
}

// readmit ends an ejection; one for faults must have served a request first. The engine starts with a
// small bound, which the control loop raises.
func (b *Balancer) readmit(e *engine) {
	if e.ejected && !e.ejectedForFaults {
		e.ejected = false
		e.bound = max(minBound, e.initialBound*readmissionBoundShare)
		b.emit(Log{fmt.Sprintf("engine %s serves again", e.id)})
	}
}
