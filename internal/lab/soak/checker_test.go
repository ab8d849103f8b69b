package soak

import (
	"slices"
	"strings"
	"testing"
	"time"
)

// runStart is when the built histories begin.
var runStart = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

// after returns a time of a built history.
func after(d time.Duration) time.Time { return runStart.Add(d) }

const ms = time.Millisecond

// builtHistory is a history with the ready times of its front ends.
type builtHistory struct {
	*history
	readyTimes map[string][]time.Time
}

// addAttempt records an attempt. An end of 0 means that the attempt is in flight.
func (h *builtHistory) addAttempt(
	requestID string, start, end time.Duration, response responseKind, change ...func(*attempt),
) {
	a := &attempt{
		requestID: requestID, engine: "s-1", class: classLookup, beganAt: after(start), response: response,
		workTime: workTimes[classLookup],
	}
	if end > 0 {
		a.endedAt = after(end)
	}
	for _, apply := range change {
		apply(a)
	}
	h.attempts = append(h.attempts, a)
}

func delayed(a *attempt) { a.delayed = true }

// addServed records a served request that was sent at the start of the run.
func (h *builtHistory) addServed(id, class string) *request {
	r := &request{
		id: id, class: class, frontEnd: "n1", sentAt: runStart, wait: time.Second, endedAt: after(100 * ms),
		outcome: outcomeServed,
	}
	h.addRequest(r)
	return r
}

// addState records a change of the engine's state that is published at the given time.
func (h *builtHistory) addState(state engineState, published time.Duration) {
	h.addChange(engineChange{engine: "s-1", state: state, publishedAt: after(published)})
}

// checkerCase is a built history and its expected violations: the rules with the ids of the requests.
type checkerCase struct {
	name  string
	build func(h *builtHistory)
	want  []string
}

func runCheckerCases(t *testing.T, cases []checkerCase) {
	t.Helper()
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			h := &builtHistory{history: newHistory(), readyTimes: map[string][]time.Time{}}
			c.build(h)
			var got []string
			for _, v := range h.check(h.readyTimes) {
				got = append(got, strings.TrimSpace(string(v.Rule)+" "+v.Request))
			}
			if !slices.Equal(got, c.want) {
				t.Errorf("the violations are %q, want %q", got, c.want)
			}
		})
	}
}

// A lost request violates RuleResponse. No other outcome violates it.
func TestCheck_ReportsALostRequest(t *testing.T) {
	cases := []checkerCase{{name: "empty history", build: func(*builtHistory) {}}}
	outcomes := []outcome{
		outcomeServed, outcomeRejected, outcomeFailed, outcomeDisconnected, outcomeExcused, outcomeLost,
	}
	for _, o := range outcomes {
		c := checkerCase{name: string(o), build: func(h *builtHistory) { h.addServed("r", classLookup).outcome = o }}
		if o == outcomeLost {
			c.want = []string{string(RuleResponse) + " r"}
		}
		cases = append(cases, c)
	}
	runCheckerCases(t, cases)
}

// Violations that were detected during the run come first, unchanged.
func TestCheck_KeepsTheViolationsOfTheRun(t *testing.T) {
	h := newHistory()
	recorded := Violation{Rule: RuleProcess, Detail: "it has ended"}
	h.addViolation(recorded)
	h.addRequest(&request{id: "r", outcome: outcomeLost})
	got := h.check(nil)
	if len(got) != 2 || got[0] != recorded || got[1].Rule != RuleResponse || got[1].Request != "r" {
		t.Errorf("the violations are %v", got)
	}
}

// A request has at most three attempts, and each attempt begins after the previous attempt has ended.
func TestCheck_ReportsTooManyOrOverlappingAttempts(t *testing.T) {
	sequence := func(count int) func(h *builtHistory) {
		return func(h *builtHistory) {
			h.addServed("r", classLookup)
			for i := range count {
				start := time.Duration(i) * 10 * ms
				h.addAttempt("r", start+ms, start+9*ms, responseFailed)
			}
		}
	}
	// pair records an attempt from 20 ms to 170 ms, and an attempt that begins at the given time.
	pair := func(earlierResponse responseKind, laterStart time.Duration) func(h *builtHistory) {
		return func(h *builtHistory) {
			h.addServed("r", classLookup)
			h.addAttempt("r", laterStart, 300*ms, responseServed) // out of order: the checker sorts
			h.addAttempt("r", 20*ms, 170*ms, earlierResponse)
		}
	}
	overlap := func(earlier, later func(*attempt)) func(h *builtHistory) {
		return func(h *builtHistory) {
			h.addServed("r", classLookup)
			h.addAttempt("r", 20*ms, 600*ms, responseServed, earlier)
			h.addAttempt("r", 300*ms, 700*ms, responseServed, later)
		}
	}
	unchanged := func(*attempt) {}
	endsAfter := func(d time.Duration, response responseKind) func(*attempt) {
		return func(a *attempt) {
			a.endedAt = a.beganAt.Add(d)
			a.response = response
		}
	}
	inFlight := []string{string(RuleSingleInFlight) + " r"}
	runCheckerCases(t, []checkerCase{
		{"three attempts", sequence(3), nil},
		{"four attempts", sequence(4), []string{string(RuleRetryLimit) + " r"}},
		{"next attempt 5 ms before the reported end", pair(responseFailed, 165*ms), nil},
		{"next attempt 6 ms before the reported end", pair(responseFailed, 164*ms), inFlight},
		{"next attempt 100 ms before the end of the connection", pair(responseNone, 70*ms), nil},
		{"next attempt 101 ms before the end of the connection", pair(responseNone, 69*ms), inFlight},
		{"overlap", overlap(unchanged, unchanged), inFlight},
		{"earlier attempt in flight", overlap(func(a *attempt) { a.endedAt = time.Time{} }, unchanged), inFlight},
		{"earlier attempt delayed", overlap(delayed, unchanged), nil},
		{"later attempt delayed", overlap(unchanged, delayed), nil},
		{"later attempt cancelled after 99 ms", overlap(unchanged, endsAfter(99*ms, responseNone)), nil},
		{"later attempt cancelled after 100 ms", overlap(unchanged, endsAfter(100*ms, responseNone)), inFlight},
		{"later attempt with a response after 99 ms", overlap(unchanged, endsAfter(99*ms, responseServed)), inFlight},
		{"later attempt in flight", overlap(unchanged, func(a *attempt) {
			a.endedAt = time.Time{}
			a.response = responseNone
		}), inFlight},
		{"attempts of two requests at the same time", func(h *builtHistory) {
			h.addServed("r", classLookup)
			h.addServed("s", classLookup)
			h.addAttempt("r", 10*ms, 50*ms, responseServed)
			h.addAttempt("s", 10*ms, 50*ms, responseServed)
		}, nil},
	})
}

// A request that is not idempotent runs at most once. An attempt that the engine rejected has not run.
func TestCheck_ReportsASecondRunOfANonIdempotentRequest(t *testing.T) {
	twoAttempts := func(class string, firstResponse responseKind) func(h *builtHistory) {
		return func(h *builtHistory) {
			h.addServed("r", class)
			h.addAttempt("r", 10*ms, 20*ms, firstResponse)
			h.addAttempt("r", 130*ms, 160*ms, responseServed)
		}
	}
	violated := []string{string(RuleRetryIdempotency) + " r"}
	runCheckerCases(t, []checkerCase{
		{"write rejected first", twoAttempts(classWrite, responseRejected), nil},
		{"write failed first", twoAttempts(classWrite, responseFailed), violated},
		{"write malformed first", twoAttempts(classWrite, responseMalformed), violated},
		{"write cancelled first", twoAttempts(classWrite, responseNone), violated},
		{"lookup failed first", twoAttempts(classLookup, responseFailed), nil},
		{"load failed first", twoAttempts(classLoad, responseFailed), nil},
	})
}

// No attempt begins more than 100 ms, plus the tolerance of 100 ms, after its client has disconnected.
func TestCheck_ReportsAnAttemptAfterADisconnect(t *testing.T) {
	begins := func(o outcome, start time.Duration, change ...func(*attempt)) func(h *builtHistory) {
		return func(h *builtHistory) {
			r := h.addServed("r", classLookup)
			r.outcome = o
			r.endedAt = after(50 * ms)
			h.addAttempt("r", start, start+10*ms, responseServed, change...)
		}
	}
	runCheckerCases(t, []checkerCase{
		{"200 ms later", begins(outcomeDisconnected, 250*ms), nil},
		{"201 ms later", begins(outcomeDisconnected, 251*ms), []string{string(RuleSendAfterDisconnect) + " r"}},
		{"201 ms later, delayed", begins(outcomeDisconnected, 251*ms, delayed), nil},
		{"201 ms after a failure", begins(outcomeFailed, 251*ms), nil},
	})
}

// An engine is given at most the client's remaining time plus 150 ms of slack.
func TestCheck_ReportsMoreThanTheRemainingTime(t *testing.T) {
	given := func(remainingTime time.Duration, change ...func(*attempt)) func(h *builtHistory) {
		return func(h *builtHistory) {
			h.addServed("r", classLookup) // waits 1 s
			change = append(change, func(a *attempt) { a.remainingTime = remainingTime })
			h.addAttempt("r", 200*ms, 240*ms, responseServed, change...)
		}
	}
	runCheckerCases(t, []checkerCase{
		{"950 ms of 800 ms", given(950 * ms), nil},
		{"951 ms of 800 ms", given(951 * ms), []string{string(RuleRemainingTime) + " r"}},
		{"951 ms of 800 ms, delayed", given(951*ms, delayed), nil},
	})
}

// No attempt begins at an engine more than 500 ms, plus the tolerance of 100 ms, after the notification
// that the engine is draining or removed. A bus fault and the start of a front end may delay the
// notification.
func TestCheck_ReportsAnAttemptAtADrainedEngine(t *testing.T) {
	const published = 10 * time.Second
	violated := []string{string(RuleDrainedEndpoint) + " r"}
	begins := func(state engineState, delay time.Duration, change ...func(*attempt)) func(h *builtHistory) {
		return func(h *builtHistory) {
			h.addState(state, published)
			h.addAttempt("r", published+delay, published+delay+40*ms, responseServed, change...)
		}
	}
	busFault := func(from, until, delay time.Duration) func(h *builtHistory) {
		return func(h *builtHistory) {
			h.addBusFault(after(published+from), after(published+until))
			begins(stateDraining, delay)(h)
		}
	}
	started := func(ready, delay time.Duration) func(h *builtHistory) {
		return func(h *builtHistory) {
			h.readyTimes["n1"] = []time.Time{after(published + ready)}
			begins(stateDraining, delay)(h)
		}
	}
	readyAgain := func(ready, delay time.Duration) func(h *builtHistory) {
		return func(h *builtHistory) {
			begins(stateDraining, delay)(h)
			h.addState(stateReady, published+ready)
		}
	}
	runCheckerCases(t, []checkerCase{
		{"draining, 600 ms", begins(stateDraining, 600*ms), nil},
		{"draining, 601 ms", begins(stateDraining, 601*ms), violated},
		{"removed, 600 ms", begins(stateRemoved, 600*ms), nil},
		{"removed, 601 ms", begins(stateRemoved, 601*ms), violated},
		{"ready, 601 ms", begins(stateReady, 601*ms), nil},
		{"delayed, 601 ms", begins(stateDraining, 601*ms, delayed), nil},
		{"another engine, 601 ms", begins(stateDraining, 601*ms, func(a *attempt) { a.engine = "s-2" }), nil},
		{"ready again before", readyAgain(700*ms, 701*ms), nil},
		{"ready again at the same time", readyAgain(701*ms, 701*ms), violated},
		{"ready again after", readyAgain(702*ms, 701*ms), violated},
		{"ready before the publication", readyAgain(-ms, 701*ms), violated},
		{"bus fault, 4 s after it began", busFault(-time.Second, 100*ms, 3600*ms), nil},
		{"bus fault, later", busFault(-time.Second, 100*ms, 3601*ms), violated},
		{"long bus fault, 1 s after its end", busFault(-time.Second, 5*time.Second, 6600*ms), nil},
		{"long bus fault, later", busFault(-time.Second, 5*time.Second, 6601*ms), violated},
		{"bus fault begins 100 ms later", busFault(100*ms, 200*ms, 4700*ms), nil},
		{"bus fault begins 101 ms later", busFault(101*ms, 200*ms, 601*ms), violated},
		{"bus fault ends at the publication", busFault(-time.Second, 0, 3600*ms), nil},
		{"bus fault ends before the publication", busFault(-time.Second, -ms, 601*ms), violated},
		{"front end started, 1 s later", started(2*time.Second, 3600*ms), nil},
		{"front end started, later", started(2*time.Second, 3601*ms), violated},
		{"front end started 3.999 s later", started(3999*ms, 5599*ms), nil},
		{"front end started 4 s later", started(4*time.Second, 601*ms), violated},
		{"front end started at the publication", started(0, 601*ms), violated},
	})
}
