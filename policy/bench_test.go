package policy_test

import (
	"fmt"
	"testing"
	"time"

	"flaxrelay/policy"
)

// BenchmarkDecision measures the arrival and the served attempt of one request at a balancer with 40 engines, with a
// tick every 100 requests.
func BenchmarkDecision(b *testing.B) {
	settings := characterizationSettings()
	balancer, err := policy.New(settings, 1)
	if err != nil {
		b.Fatal(err)
	}
	now := time.Minute
	list := policy.EndpointsChanged{Mode: policy.UpdateFull}
	for i := range 40 {
		list.Engines = append(
			list.Engines,
			policy.Engine{ID: fmt.Sprint("engine-", i), Zone: "a", Kind: "large", State: policy.EngineReady},
		)
	}
	actions := balancer.Handle(now, list, nil)
	b.ReportAllocs()
	b.ResetTimer()
	for i := range b.N {
		now += time.Millisecond
		id := uint64(i + 1)
		actions = balancer.Handle(
			now,
			policy.RequestArrived{RequestID: id, Class: "lookup", Dataset: int64(i % 20), Deadline: now + time.Second},
			actions[:0],
		)
		actions = balancer.Handle(now, policy.AttemptEnded{
			RequestID: id, Result: policy.ResultServed, Elapsed: 90 * time.Millisecond, Completed: true,
		}, actions[:0])
		if i%100 == 0 {
			actions = balancer.Handle(now, policy.TimerFired{}, actions[:0])
		}
	}
}
