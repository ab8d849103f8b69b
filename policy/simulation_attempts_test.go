package policy_test

import (
	"time"

	"flaxrelay/policy"
)

// send starts an attempt, and schedules its end and its progress reports.
func (s *simulation) send(send policy.StartAttempt) {
	req := s.requests[send.RequestID]
	e := s.byID[send.Engine]
	a := &simulatedAttempt{engine: e, sent: s.now}
	n := len(req.attempts)
	req.attempts = append(req.attempts, a)
	e.attempts++
	end := func(delay time.Duration, result policy.Result) {
		s.after(delay, func() policy.Event { return s.end(send.RequestID, n, result) })
	}
	end(send.Timeout, policy.ResultTimedOut)
	took := s.duration(req, e)
	switch {
	case e.endpoint.State == policy.EngineRemoved:
		end(time.Millisecond, policy.ResultConnectFailed)
		return
	case s.now < e.hangsUntil:
		return
	case e.attempts > 40:
		end(time.Millisecond, policy.ResultOverloaded)
		return
	case s.random.Float64() < s.faults:
		results := []policy.Result{
			policy.ResultFailed, policy.ResultOverloaded, policy.ResultConnectFailed, policy.ResultConnectionLost,
			policy.ResultUnknown, policy.ResultNotSent, policy.ResultTimedOut,
		}
		if k := s.random.IntN(len(results) + 1); k < len(results) {
			end(time.Duration(float64(took)*s.random.Float64()), results[k])
		}
		return
	}
	end(took, policy.ResultServed)
	s.reportProgress(req, n, took)
}

// duration returns how long an engine takes for a request, given the engine's load.
func (s *simulation) duration(req *simulatedRequest, e *simulatedEngine) time.Duration {
	crowding := 1 + float64(e.attempts*e.attempts)/100
	return time.Duration(float64(req.work)*crowding*e.slowdown/s.speed) + time.Millisecond
}

// reportProgress schedules the progress reports of an attempt. Some of them report a wait or a spill.
func (s *simulation) reportProgress(req *simulatedRequest, n int, took time.Duration) {
	id := req.arrival.RequestID
	if s.settings.Classes[0].Name != req.arrival.Class && s.random.IntN(3) == 0 {
		s.eventAfter(took/3, policy.StreamStarted{RequestID: id, Attempt: n})
	}
	if s.settings.ProgressInterval == 0 {
		return
	}
	for at := s.settings.ProgressInterval; at < took; at += s.settings.ProgressInterval {
		report := policy.ProgressReported{
			RequestID: id, Attempt: n, Kind: policy.ProgressFraction, Value: float64(at) / float64(took),
		}
		switch s.random.IntN(12) {
		case 0:
			report.Kind = policy.ProgressSpilling
			report.Value = 100 * s.random.Float64()
		case 1:
			report.Kind = policy.ProgressAwaitingMemory
		case 2:
			report.Kind = policy.ProgressAwaitingLoad
		case 3:
			continue
		}
		s.eventAfter(at, report)
	}
}

// end ends an attempt and returns its AttemptEnded, or nil if the attempt has ended before.
func (s *simulation) end(requestID uint64, n int, result policy.Result) policy.Event {
	req := s.requests[requestID]
	if n >= len(req.attempts) || req.attempts[n].ended {
		return nil
	}
	a := req.attempts[n]
	a.ended = true
	a.engine.attempts--
	event := policy.AttemptEnded{
		RequestID: requestID, Attempt: n, Result: result, Elapsed: s.now - a.sent,
		Load: policy.LoadReport{CPUShare: -1, InFlight: -1},
	}
	if result == policy.ResultServed {
		req.completed = true
		event.Work = req.work
		event.MemoryMB = 30 + 100*s.random.Float64()
		if !s.settings.ReportsCost {
			event.Work = 0
			event.MemoryMB = 0
		}
	}
	if result == policy.ResultServed || result == policy.ResultFailed {
		event.Load = s.load(a.engine)
	}
	event.Completed = req.completed
	return event
}

// load returns the load report of an engine.
func (s *simulation) load(e *simulatedEngine) policy.LoadReport {
	inFlight := float64(e.attempts)
	return policy.LoadReport{
		Reported:    s.settings.ReportsLoad,
		CPUShare:    min(inFlight/8, 1),
		InFlight:    inFlight * (0.9 + 0.2*s.random.Float64()),
		Queued:      max(inFlight-8, 0),
		MemoryShare: inFlight / 6,
		DiskShare:   min(inFlight/10, 1),
	}
}
