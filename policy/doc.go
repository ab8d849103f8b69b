// Package policy decides, for one front end, when and on which engine each request runs.
//
// # Use
//
// The caller creates one Balancer with New, passes it every event with Handle, and performs the
// actions that Handle returns, in their order:
//
//	balancer, err := policy.New(settings, seed)
//	...
//	actions = balancer.Handle(now, event, actions[:0])
//
// The inputs are in events.go, the outputs in actions.go, the configuration in settings.go. All instants are
// durations since one origin, which the caller chooses. An event with an earlier instant than the previous
// event is treated as simultaneous with that event. The first event starts the tick, a timer that repeats
// every 100 ms. Every fifth tick ends a control period.
//
// # What the caller must do
//
// The caller performs all actions of an event before the next call of Handle. It numbers the attempts of each
// request from 0, in the order of their StartAttempt actions. Events and actions refer to an attempt by this
// number.
//
// Each attempt ends with exactly one AttemptEnded. Unless the attempt has already ended, the caller ends it
// with ResultTimedOut after the timeout of its StartAttempt, and with ResultCancelled on a CancelAttempt.
// After a StreamStarted the balancer neither cancels the attempt nor ends its request at the deadline.
//
// Each request ends with exactly one of these: an AttemptEnded with Completed set, a Reject, a Fail, or a
// ClientDisconnected. If attempts of the request are still in flight then, the caller must still pass the
// AttemptEnded of each.
//
// # How it works
//
// A Balancer is a pure state machine: it reads no clock, does no I/O and starts no goroutine. Its random
// numbers come from one generator that New seeds. It is not safe for concurrent use.
//
// Each of the types below owns the state of one concern. The Balancer is composed of them and routes events
// to them. The policy list in deploy/balancer.toml names the files that contain decisions. Where to look:
//
//   - balancer.go: routing of events, the periodic tick; new.go: composition of the types
//   - admission.go: arrival of a request, its expected cost, rejection, completion
//   - selector.go: selector, the choice of engine
//   - limiter.go: limiter, the adaptive concurrency limit; fleet.go: its use for all engines together
//   - engine.go: engine, which holds the state of each concern for one engine
//   - outcome.go: handling of the end of an attempt, and learning from it
//   - class.go: class, with the latency, work and memory learned from the requests of a class
//   - progress.go: progress reports of attempts in flight
//   - attemptrules.go: attemptRules, retries and idempotency; retrybudget.go: retryBudget;
//     attemptrunner.go: attemptRunner, which starts and cancels attempts
//   - outlierdetector.go: outlierDetector, ejection and readmission; outlier.go: outlierState, the state for
//     one engine; silence.go: silenceDetector; lostresponses.go: classes that are stalled on an engine
//   - slowstart.go: slowStart, the budget of an engine that is warming up; reportedstart.go: reported starts
//   - quota.go: quotas of tenants; traffic.go: trafficEstimate, this front end's share of the traffic
//   - ordering.go: orderedRequests, which runs the requests of one ordering key one at a time; keyqueue.go:
//     their queues
//   - load.go: loadReports, the load that engines report
//   - locality.go: datasetAffinity, which engines cache a data set
//   - resources.go: memory grants and priorities
//   - endpoints.go: the endpoint list
//
// request.go and attempt.go hold the state of a request and its attempts. overloadcheck.go checks slow start
// at run time and does not affect decisions. The other files hold small mechanisms, such as averages and token
// buckets.
package policy
