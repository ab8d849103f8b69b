package policy_test

import (
	"fmt"
	"time"

	"flaxrelay/policy"
)

// A proxy embeds one Balancer, passes it every event and performs its actions.
func Example() {
	balancer, err := policy.New(policy.Settings{
		Replicas: 1,
		Zone:     "a",
		Kinds:    []policy.Kind{{Name: "small", Cores: 1}},
		Classes: []policy.Class{{
			Name: "lookup", LatencyObjective: 200 * time.Millisecond, Deadline: time.Second,
			PriorityWeight: 1, Threads: 2, Effect: policy.Idempotent,
		}},
		Limits: policy.Limits{MaxAttempts: 3, Cancel: true},
	}, 42)
	if err != nil {
		fmt.Println(err)
		return
	}
	clock := time.Hour
	handle := func(event policy.Event) {
		for _, a := range balancer.Handle(clock, event, nil) {
			if _, isTimer := a.(policy.SetTimer); !isTimer {
				fmt.Printf("%T %+v\n", a, a)
			}
		}
	}
	handle(policy.EndpointsChanged{Mode: policy.UpdateFull, Engines: []policy.Engine{
		{ID: "engine-1", Zone: "a", Kind: "small", State: policy.EngineReady},
	}})
	handle(policy.RequestArrived{RequestID: 1, Class: "lookup", Deadline: clock + time.Second})
	handle(policy.RequestArrived{RequestID: 2, Class: "lookup", Deadline: clock + time.Second})
	clock += 50 * time.Millisecond
	handle(policy.AttemptEnded{
		RequestID: 1, Result: policy.ResultServed, Elapsed: 50 * time.Millisecond, Completed: true,
	})
	handle(policy.RequestArrived{RequestID: 3, Class: "lookup", Deadline: clock + time.Second})
	// Output:
	// policy.StartAttempt {RequestID:1 Engine:engine-1 Timeout:1s}
	// policy.Reject {RequestID:2 RetryAfter:0s Reason:engine-limit}
	// policy.StartAttempt {RequestID:3 Engine:engine-1 Timeout:1s}
}
