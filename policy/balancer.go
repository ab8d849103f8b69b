package policy

import (
	"math/rand/v2"
	"time"
)

const (
	controlPeriod  = 500 * time.Millisecond         // between two runs of the control loops
	ticksPerPeriod = 5                              // engines are checked for silence at each tick
	tickPeriod     = controlPeriod / ticksPerPeriod // between two ticks
	tickToken      = 0                              // token of the tick; DeadlineTimer uses all other tokens
)

// actionList collects the actions of the current event.
type actionList struct{ list []Action }

func (l *actionList) add(a Action) { l.list = append(l.list, a) }

// Balancer decides when and on which engine each request of one front end runs. It routes events to the types
// that own the state of each concern, and collects their actions. It is not safe for concurrent use.
type Balancer struct {
	settings Settings
	now      time.Duration // instant of the current event; never decreases
	actions  actionList    // of the current event
	rng      *rand.Rand
	started  bool // the first event has been handled
	ticks    int

	requests       map[uint64]*request // until they are completed and their attempts have ended
	classes        map[string]*class
	engines        engineTable
	fleet          fleet
	selector       selector
	rules          attemptRules
	attempts       attemptRunner
	ordered        orderedRequests
	slowStartRules slowStartRules
	outliers       outlierDetector
	quotas         quotas
	traffic        trafficEstimate
	valueRanking   valueRanking
	load           loadReports
}

// Handle processes one event. It appends the resulting actions to the slice and returns the extended slice.
func (b *Balancer) Handle(now time.Duration, event Event, actions []Action) []Action {
	b.now = max(now, b.now)
	b.actions.list = actions
	if !b.started {
		b.onFirstEvent(now)
	}
	switch event := event.(type) {
	case RequestArrived:
		b.onRequestArrived(event)
	case AttemptEnded:
		b.onAttemptEnded(event)
	case HealthChecked:
		if e := b.engines.byID[event.Engine]; e != nil {
			b.load.record(e, event.Load, b.now)
		}
	case ProgressReported:
		b.onProgress(event)
	case StreamStarted:
		b.onStreamStarted(event)
	case ClientDisconnected:
		if req := b.requests[event.RequestID]; req != nil {
			b.complete(req)
		}
	case TimerFired:
		b.onTimer(event.Token)
	case EndpointsChanged:
		b.onEndpointsChanged(event)
	}
	actions = b.actions.list
	b.actions.list = nil
	return actions
}

// attempt returns an attempt, or nil if its request is no longer tracked or has no such attempt. The attempt
// may have ended.
func (b *Balancer) attempt(requestID uint64, index int) *attempt {
	req := b.requests[requestID]
	if req == nil || index < 0 || index >= len(req.attempts) {
		return nil
	}
	return req.attempts[index]
}

// onFirstEvent starts the ticks and, if the endpoint list is not pushed, subscribes to it.
func (b *Balancer) onFirstEvent(now time.Duration) {
	b.started = true
	b.slowStartRules.firstEventAt = now
	b.actions.add(SetTimer{After: tickPeriod})
	if b.settings.PullDiscovery {
		b.actions.add(Subscribe{})
	}
}

// onTimer runs a tick, or ends a request shortly before its deadline unless its response is being streamed.
func (b *Balancer) onTimer(token uint64) {
	if token == tickToken {
		b.tick()
		return
	}
	req := b.requests[requestOfDeadline(token)]
	if req != nil && !req.streaming() {
		b.rejectOrFail(req, ReasonDeadline)
	}
}

// tick checks the engines for silence and their attempts for lost or overdue responses, admits waiting
// requests and, once a control period, runs the control loops.
func (b *Balancer) tick() {
	b.actions.add(SetTimer{After: tickPeriod})
	b.outliers.silence.onTick(b.now)
	for _, e := range b.engines.all {
		b.outliers.check(e, b.now)
	}
	b.admitWaiting()
	b.ticks++
	if b.ticks%ticksPerPeriod == 0 {
		b.endControlPeriod()
	}
}

// endControlPeriod updates the traffic estimate, runs the control loops and drops obsolete state.
func (b *Balancer) endControlPeriod() {
	requestsPerEngine := float64(len(b.requests)) / float64(max(len(b.engines.all), 1))
	b.traffic.endPeriod(requestsPerEngine)
	share := b.traffic.share()
	for _, e := range b.engines.all {
		e.outlier.decayFaultRate()
		e.rescale(b.fleet.target, share, b.now)
		e.limiter.endPeriod(b.now)
	}
	b.rules.budget.expire(b.now)
	b.engines.prune(b.now)
	b.ordered.prune(b.now)
	b.fleet.rescale(b.engines.all, b.now)
	b.fleet.limiter.endPeriod(b.now)
}
