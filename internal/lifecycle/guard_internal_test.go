package lifecycle

import (
	"log/slog"
	"testing"
	"time"

	"flaxrelay/internal/metrics"
	"flaxrelay/internal/timerqueue"
	"flaxrelay/policy"
)

// idleClient is an engine client and a client that do nothing.
type idleClient struct{}

func (idleClient) Start(*Attempt)             {}
func (idleClient) Abandon(*Attempt)           {}
func (idleClient) Withdraw(*Attempt) bool     { return false }
func (idleClient) SetPriority(*Attempt, int)  {}
func (idleClient) UpdateEndpoint(Endpoint)    {}
func (idleClient) Respond(*Request, Response) {}

type fixedClock time.Duration

func (c fixedClock) Now() time.Duration { return time.Duration(c) }

// The guard of repeating stops an attempt that breaks a rule, whatever the balancer says, and
// counts it.
func TestPermitStart_StopsWhatTheBalancerMustNotAskFor(t *testing.T) {
	for name, test := range map[string]struct {
		earlier []attemptState
		effect  policy.Effect
		want    string // the rule that is violated; "": none
	}{
		"first":                    {nil, policy.NonIdempotent, ""},
		"repeat of what never ran": {[]attemptState{attemptNeverRan}, policy.NonIdempotent, ""},
		"repeat that is harmless":  {[]attemptState{attemptMayHaveRun}, policy.Idempotent, ""},
		"unsafe repeat":            {[]attemptState{attemptMayHaveRun}, policy.NonIdempotent, "retry-idempotency"},
		"two in flight":            {[]attemptState{attemptInFlight}, policy.Idempotent, "single-in-flight"},
		"too many":                 {[]attemptState{attemptNeverRan, attemptNeverRan, attemptNeverRan}, policy.Idempotent, "retry-limit"},
	} {
		t.Run(name, func(t *testing.T) {
			counters := metrics.New()
			settings := policy.Settings{
				Replicas: 1, TickInterval: time.Millisecond, Limits: policy.Limits{MaxAttempts: 3},
				Classes: []policy.Class{{Name: "c", LatencyObjective: time.Second, Deadline: time.Second, PriorityWeight: 1, Effect: test.effect}},
			}
			d, err := NewDispatcher(settings, 1, fixedClock(time.Hour), timerqueue.New(), counters, slog.New(slog.DiscardHandler))
			if err != nil {
				t.Fatal(err)
			}
			d.SetEngineClient(idleClient{})
			r := &Request{ID: "r", Class: "c", Client: idleClient{}, state: requestPending, Deadline: time.Hour + time.Second}
			for i, state := range test.earlier {
				r.attempts = append(r.attempts, &Attempt{Request: r, index: i, state: state})
			}
			d.requests[r.policyID], d.pending = r, 1
			d.startAttempt(r, policy.StartAttempt{Engine: "e", Timeout: time.Second})
			started := !r.attempts[len(test.earlier)].Ended()
			if started != (test.want == "") {
				t.Errorf("started: %v", started)
			}
			if test.want != "" && counters.GetByName("invariants.violated."+test.want) != 1 || counters.Sum("invariants.violated.") > 1 {
				t.Errorf("violations: %d of %q, %d in all", counters.GetByName("invariants.violated."+test.want), test.want, counters.Sum("invariants.violated."))
			}
		})
	}
}
