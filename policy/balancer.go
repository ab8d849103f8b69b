package policy

import (
	"slices"
	"time"
)

const (
	controlPeriod  = 500 * time.Millisecond         // between two runs of the control loops; from the design
	ticksPerPeriod = 5                              // engines are checked for silence more often than that
	tickInterval   = controlPeriod / ticksPerPeriod // between two ticks
	tickToken      = 0                              // token of the tick's timer; others are of DeadlineTimer
)

// onFirstEvent starts the ticks and, where the endpoint list isn't pushed, subscribes to it.
func (b *Balancer) onFirstEvent(now time.Duration) {
	b.started, b.startedAt = true, now
	b.emit(SetTimer{After: tickInterval})
	if b.settings.PullDiscovery {
		b.emit(Subscribe{})
	}
}

// onTimer runs a tick, or ends a request whose client is about to give up.
func (b *Balancer) onTimer(token uint64) {
	if token == tickToken {
		b.tick()
		return
	}
	req := b.requests[requestOfDeadline(token)]
	if req != nil && !slices.ContainsFunc(req.attempts, (*attempt).streamOpen) {
		b.rejectOrFail(req, ReasonDeadline)
	}
}

// tick checks the engines for silence, dispatches queued requests and, once a control period, runs the
// control loops. A late tick means that this process itself was paused.
func (b *Balancer) tick() {
	b.emit(SetTimer{After: tickInterval})
	if b.now-b.lastTickAt > 2*tickInterval {
		b.resumedAt = b.now
	}
	b.lastTickAt = b.now
	for _, e := range b.engines {
		b.detectSilence(e)
	}
	b.dispatchQueued()
	b.ticks++
	if b.ticks%ticksPerPeriod == 0 {
		b.endPeriod()
	}
}

// endPeriod ends a control period: it updates the figures of the traffic and runs the control loops.
func (b *Balancer) endPeriod() {
	b.traffic.endPeriod(float64(len(b.requests)) / float64(max(len(b.engines), 1)))
	for _, e := range b.engines {
		b.scaleEngine(e)
		b.adjust(&e.controlLoop)
	}
	b.prune()
	b.scaleFleet()
	b.adjust(&b.fleet)
}
