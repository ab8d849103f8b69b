package hotrestart

import "time"

// stateProgress is how far the successor is with the predecessor's state.
//
//	stateAwaited --State--> stateLoading --StateLoaded--> stateLoaded
type stateProgress uint8

const (
	stateAwaited stateProgress = iota
	stateLoading
	stateLoaded
)

// Successor is the state machine of the process that takes over. It may be used by one goroutine at a
// time.
type Successor struct {
	version   Version
	state     stateProgress
	accepting bool
	owner     bool // final: the predecessor reclaims nothing any more
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
		return s.predecessorExited()
	}
	return nil
}

// predecessorExited takes ownership, or does so later if the state is being loaded. Without any
// state, the process serves like one that was just started.
func (s *Successor) predecessorExited() []Action {
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
