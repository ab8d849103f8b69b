package policy

import (
	"fmt"
	"time"
)

// New returns a balancer for the settings, or an error that wraps a *SettingsError.
func New(s Settings, seed uint64) (*Balancer, error) {
	if err := validate(&s); err != nil {
		return nil, fmt.Errorf("policy: settings: %w", err)
	}
	b := newBalancer(s, seed)
	b.silenceTimeout = silenceTimeout(&s)
	b.threadsPerCore = threadsPerCore(s.Shortage)
	return b, nil
}

// Handle processes one event and appends the actions that it leads to.
func (b *Balancer) Handle(now time.Duration, event Event, actions []Action) []Action {
	b.now, b.actions = max(now, b.now), actions
	if !b.started {
		b.onFirstEvent(now)
	}
	switch ev := event.(type) {
	case RequestArrived:
		b.onRequestArrived(ev)
	case AttemptEnded:
		b.onAttemptEnded(ev)
	case HealthChecked:
		if e := b.enginesByID[ev.Engine]; e != nil {
			b.onLoadReport(e, ev.Load)
		}
	case ProgressReported:
		b.onProgress(ev)
	case StreamStarted:
		b.onStreamStarted(ev)
	case ClientDisconnected:
		if req := b.requests[ev.RequestID]; req != nil {
			b.finish(req)
		}
	case TimerFired:
		b.onTimer(ev.Token)
	case EndpointsChanged:
		b.onEndpointsChanged(ev)
	}
	actions, b.actions = b.actions, nil
	return actions
}
