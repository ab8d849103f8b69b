package policy_test

import (
	"fmt"
	"time"

	"flaxrelay/policy"
)

// firstList adds the first engines and returns the endpoint list. For half of the engines, StartKnown is false: their
// entries have no start time, as for engines that started long ago.
func (s *simulation) firstList() policy.Event {
	for range s.scenario.engines {
		s.addEngine(len(s.engines)%2 == 0)
	}
	return s.fullList(policy.UpdateCached)
}

// addEngine adds an engine. If startKnown is true, the endpoint list reports that the engine has started now.
func (s *simulation) addEngine(startKnown bool) *simulatedEngine {
	n := len(s.engines)
	e := &simulatedEngine{slowdown: 0.8 + 0.4*s.random.Float64(), endpoint: policy.Engine{
		ID: fmt.Sprintf("s-%08x", n*2654435761), Zone: []string{"a", "b"}[n%2],
		Kind: []string{"large", "small", "large"}[n%3],
		Cell: int64(n % 3), CellKnown: true, State: policy.EngineReady, StartedAt: s.now, StartKnown: startKnown,
	}}
	s.engines = append(s.engines, e)
	s.byID[e.endpoint.ID] = e
	return e
}

// fullList returns an endpoint list with all engines that are not removed.
func (s *simulation) fullList(mode policy.UpdateMode) policy.Event {
	list := policy.EndpointsChanged{Mode: mode}
	for _, e := range s.engines {
		if e.endpoint.State != policy.EngineRemoved {
			list.Engines = append(list.Engines, e.endpoint)
		}
	}
	return list
}

// nextListEvent changes an engine at random: the engine hangs, slows down, drains, is removed or starts again. It
// returns the update of the endpoint list, or nil if the change does not affect the list. It may also change no
// engine and return the full list or a failed update.
func (s *simulation) nextListEvent() policy.Event {
	s.after(time.Duration(200+s.random.IntN(1500))*time.Millisecond, s.nextListEvent)
	e := s.engines[s.random.IntN(len(s.engines))]
	switch s.random.IntN(8) {
	case 0:
		e.hangsUntil = s.now + 4*time.Second
		return nil
	case 1:
		e.slowdown = 0.5 + 3*s.random.Float64()
		return nil
	case 2:
		return s.fullList(policy.UpdateFull)
	case 3:
		return policy.EndpointsChanged{Mode: policy.UpdateFailed}
	case 4:
		e.endpoint.State = policy.EngineDraining
	case 5:
		e.endpoint.State = policy.EngineRemoved
		if s.random.IntN(2) == 0 {
			replacement := s.addEngine(true)
			return policy.EndpointsChanged{
				Mode: policy.UpdateDelta, Engines: []policy.Engine{e.endpoint, replacement.endpoint},
			}
		}
	default:
		if e.endpoint.State != policy.EngineReady {
			e.endpoint.State = policy.EngineReady
			e.endpoint.StartKnown = true
			e.endpoint.StartedAt = s.now
		}
	}
	return policy.EndpointsChanged{Mode: policy.UpdateDelta, Engines: []policy.Engine{e.endpoint}}
}
