package lifecycle

import (
	"log/slog"
	"testing"
	"time"

	"flaxrelay/internal/invariant"
	"flaxrelay/internal/metrics"
	"flaxrelay/internal/timerqueue"
	"flaxrelay/policy"
)

// noopClient is an engine client and a client that do nothing.
type noopClient struct{}

func (noopClient) Start(*Attempt)             {}
func (noopClient) Abandon(*Attempt)           {}
func (noopClient) Withdraw(*Attempt) bool     { return false }
func (noopClient) SetPriority(*Attempt, int)  {}
func (noopClient) UpdateEndpoint(Endpoint)    {}
func (noopClient) Respond(*Request, Response) {}

type fixedClock time.Duration

func (c fixedClock) Now() time.Duration { return time.Duration(c) }

// permitStart prevents an attempt that violates a rule, even if the balancer requests it, and counts the violation.
func TestPermitStart_PreventsAttemptsThatViolateARule(t *testing.T) {
	for name, test := range map[string]struct {
		earlier []attemptState
		effect  policy.Effect
		want    invariant.Rule // the rule that is violated; "": none
	}{
		"first":            {nil, policy.NonIdempotent, ""},
		"retry, never ran": {[]attemptState{attemptNeverRan}, policy.NonIdempotent, ""},
		"idempotent retry": {[]attemptState{attemptMayHaveRun}, policy.Idempotent, ""},
		"non-idempotent retry, may have run": {
			[]attemptState{attemptMayHaveRun}, policy.NonIdempotent, invariant.RetryIdempotency,
		},
		"two in flight": {[]attemptState{attemptInFlight}, policy.Idempotent, invariant.SingleInFlight},
		"too many attempts": {
			[]attemptState{attemptNeverRan, attemptNeverRan, attemptNeverRan}, policy.Idempotent, invariant.RetryLimit,
		},
	} {
		t.Run(name, func(t *testing.T) {
			counters := metrics.New()
			settings := policy.Settings{
				Replicas: 1, TimerGranularity: time.Millisecond, Limits: policy.Limits{MaxAttempts: 3},
				Classes: []policy.Class{{
					Name: "c", LatencyObjective: time.Second, Deadline: time.Second, PriorityWeight: 1,
					Effect: test.effect,
				}},
			}
			d, err := NewDispatcher(
				settings, 1, fixedClock(time.Hour), timerqueue.New(), counters, slog.New(slog.DiscardHandler),
			)
			if err != nil {
				t.Fatal(err)
			}
			d.SetEngineClient(noopClient{})
			r := &Request{
				ID: "r", Class: "c", Client: noopClient{}, state: requestPending, Deadline: time.Hour + time.Second,
			}
			for i, state := range test.earlier {
				r.attempts = append(r.attempts, &Attempt{Request: r, index: i, state: state})
			}
			d.requests.byID[r.policyID] = r
			d.requests.pending = 1
			d.startAttempt(r, policy.StartAttempt{Engine: "e", Timeout: time.Second})
			started := !r.attempts[len(test.earlier)].Ended()
			if started != (test.want == "") {
				t.Errorf("the attempt was started: %v", started)
			}
			violations := counters.Get(metrics.InvariantsViolated.With(string(test.want)))
			total := counters.Sum("invariants.violated.")
			if test.want != "" && violations != 1 || total > 1 {
				t.Errorf("violations: %d of %q, %d in total", violations, test.want, total)
			}
		})
	}
}
