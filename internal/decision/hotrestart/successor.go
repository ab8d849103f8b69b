package hotrestart

import "time"

// stateProgress is the successor's progress in loading the predecessor's state.
//
//	stateAwaited --State--> stateLoading --StateLoaded--> stateLoaded
type stateProgress uint8

const (
	stateAwaited stateProgress = iota
	stateLoading
	stateLoaded
)

// Successor is the state machine of the newer process. It is not safe for concurrent use.
type Successor struct {
	version   Version
	state     stateProgress
	accepting bool
	owner     bool // the process is the final owner: the predecessor can no longer reclaim connections
	orphaned  bool // the predecessor has exited
}

// NewSuccessor returns the state machine of a process that was started to take over.
func NewSuccessor(version Version) *Successor { return &Successor{version: version} }

// Owner reports whether the process is the final owner.
func (s *Successor) Owner() bool { return s.owner }

// Accepting reports whether the process accepts and serves connections.
func (s *Successor) Accepting() bool { return s.accepting }

// Step handles one event and returns the actions to carry out, in order.
func (s *Successor) Step(_ time.Duration, event Event) []Action {
	switch event := event.(type) {
	case Started:
		hello := SendHello{Version: s.version, Problem: event.Problem}
		if event.Problem != "" {
			return []Action{hello, Exit{}}
		}
		return []Action{hello}
	case State:
		if s.state == stateAwaited {
			s.state = stateLoading
			return []Action{LoadState{}}
		}
	case StateLoaded:
		s.state = stateLoaded
		if s.orphaned {
			return s.takeOwnership()
		}
		return []Action{SendReady{}}
	case Activate:
		if s.state == stateLoaded && !s.accepting {
			s.accepting = true
			return []Action{StartAccepting{}}
		}
	case ConnTransferred:
		return []Action{AdoptConn(event)}
	case Commit:
		if s.accepting && !s.owner {
			s.owner = true
			return []Action{StopRecording{}}
		}
	case PredecessorExited:
		return s.handlePredecessorExit()
	}
	return nil
}

// handlePredecessorExit takes ownership at once, unless the state is still being loaded. In that case, Step takes
// ownership at the event StateLoaded. A process that has not received a state serves like one that was started
// without a predecessor.
func (s *Successor) handlePredecessorExit() []Action {
	s.orphaned = true
	if s.owner || s.state == stateLoading {
		return nil
	}
	return s.takeOwnership()
}

// takeOwnership makes the process the owner of all transferred connections after the exit of the
// predecessor.
func (s *Successor) takeOwnership() []Action {
	s.owner = true
	if s.accepting {
		return []Action{StopRecording{}}
	}
	s.accepting = true
	return []Action{StopRecording{}, StartAccepting{}}
}
