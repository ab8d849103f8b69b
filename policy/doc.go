// Package policy decides, for one front end, when and on which engine each request runs.
//
// # Use
//
// The caller makes one Balancer with New, passes it every event with Handle, and performs the
// actions that Handle returns, in their order:
//
//	balancer, err := policy.New(settings, seed)
//	...
//	actions = balancer.Handle(now, event, actions[:0])
//
// The inputs are in events.go, the outputs in actions.go, the configuration in settings.go.
// All instants are durations since one arbitrary origin of the caller's choosing. Handle treats an earlier
// instant than the latest as the latest. The first event sets a timer of 100 ms that repeats, the tick; every
// fifth tick ends a control period. The caller must perform all actions of an event before the next call.
//
// # How it works
//
// A Balancer is a pure state machine: it reads no clock, does no I/O and starts no goroutine. Its
// random draws come from one generator that is seeded by New. One goroutine at a time may call it.
//
// The Balancer routes events and composes the types below, each of which owns the state of one
// concern. The files that decide are listed under policy in deploy/balancer.toml:
//
//   - balancer.go: routing of events, the periodic tick; new.go: composition of the types
//   - admission.go: arrival of a request, its expected cost, rejection, completion
//   - selector.go: selector, the choice of engine
//   - limiter.go: limiter, the adaptive concurrency limit; fleet.go: its use for all engines together
//   - engine.go: engine, which holds the state of each concern for one engine
//   - outcome.go: what is learned from the end of an attempt, and what follows from it
//   - progress.go: progress reports of attempts in flight
//   - attemptrules.go: attemptRules, retries and idempotency; retrybudget.go: retryBudget;
//     attemptrunner.go: attemptRunner, which starts and cancels attempts
//   - outlierdetector.go: outlierDetector, ejection and readmission; outlier.go: outlierState, its state of
//     one engine; silence.go: silenceDetector; lostresponses.go: classes that are stalled on an engine
//   - slowstart.go: slowStart, the budget of an engine that is warming up; reportedstart.go: its start
//   - quota.go: quotas of tenants; traffic.go: trafficEstimate, this front end's share of the traffic
//   - ordering.go: orderedRequests, requests of one ordering key, one at a time; keyqueue.go: their queues
//   - load.go: loadReports, the load that engines report
//   - locality.go: datasetAffinity, which engines cache a data set
//   - resources.go: memory grants and priorities
//   - endpoints.go: the endpoint list
//
// The other files hold state and mechanisms that decide nothing.
package policy
