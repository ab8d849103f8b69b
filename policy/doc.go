// Package policy decides, for one proxy, when and on which engine each request
// runs. A Balancer is a pure state machine: it reads no clock, does no I/O and
// starts no goroutine. One goroutine at a time may call it.
//
// Its interface is in settings.go (what it is configured with), events.go (its
// inputs) and actions.go (what its caller must do). The decisions are in the
// files that deploy/balancer.toml lists under policy, one concern each:
//
//   - balancer.go: dispatch of events and the periodic tick
//   - admission.go: the admission test, rejections and the end of a request
//   - selection.go: the choice of engine
//   - control.go: the latency control loop that sets the bounds
//   - outcome.go: what the end of an attempt leads to
//   - retry.go: retries, idempotency, the retry budget and sending
//   - progress.go: progress reports of attempts in flight
//   - outlier.go: detection of faulty engines, ejection and readmission
//   - slowstart.go: the budget of engines that warm up
//   - quota.go: tenant quotas and this balancer's share of the traffic
//   - ordering.go: requests of one ordering key, one at a time
//   - load.go: load reports and health checks
//   - resources.go: memory grants and priorities
//
// The other files hold state and mechanisms that decide nothing.
//
// All instants are durations since one arbitrary origin of the caller's
// choosing; the clock given to Handle must never go back.
package policy
