package policy_test

import (
	"fmt"
	"math"
	"time"

	"flaxrelay/policy"
)

// nextArrival returns the arrival of a random request, and schedules the next arrival.
func (s *simulation) nextArrival() policy.Event {
	rate := s.rate
	if int(s.now/(5*time.Second))%3 == 2 { // a burst in every third span of five seconds
		rate *= 2
	}
	s.after(time.Duration(s.random.ExpFloat64()/rate*float64(time.Second)), s.nextArrival)
	s.lastRequestID++
	class := s.drawClass()
	req := &simulatedRequest{work: time.Duration(float64(workOfClass[class.Name]) * (0.3 + s.random.ExpFloat64()))}
	req.arrival = policy.RequestArrived{
		RequestID: s.lastRequestID, Class: class.Name, Dataset: int64(math.Sqrt(float64(s.random.IntN(400)))),
		Deadline: s.now + time.Duration((0.8+0.2*s.random.Float64())*float64(class.Deadline)),
		Tenant:   []string{"north", "south", "stranger", ""}[s.random.IntN(4)], ClientRetry: s.random.IntN(9) == 0,
	}
	if class.Ordered && s.random.IntN(8) > 0 {
		req.arrival.OrderKey = fmt.Sprint("key-", s.random.IntN(4))
	}
	if s.estimate {
		req.arrival.EstimatedWork = time.Duration(float64(req.work) * (0.5 + s.random.Float64()))
		req.arrival.EstimatedMemoryMB = 20 + 200*s.random.Float64()
	}
	if s.random.IntN(200) == 0 {
		req.arrival.Class = "no such class"
	}
	s.requests[s.lastRequestID] = req
	if s.random.IntN(25) == 0 { // the client will disconnect
		id := s.lastRequestID
		s.after(time.Duration(s.random.IntN(1500))*time.Millisecond, func() policy.Event {
			req.completed = true
			return policy.ClientDisconnected{RequestID: id}
		})
	}
	return req.arrival
}

// drawClass draws the class of a request: the first class with probability 1/2, otherwise any class.
func (s *simulation) drawClass() policy.Class {
	if s.random.IntN(2) == 0 {
		return s.settings.Classes[0]
	}
	return s.settings.Classes[s.random.IntN(len(s.settings.Classes))]
}
