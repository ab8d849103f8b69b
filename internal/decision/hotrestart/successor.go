package hotrestart

import "time"

// Successor is the state machine of the process that takes over. It belongs to one
// goroutine.
type Successor struct {
	version      Version
	loadingState bool // the state has arrived
	stateLoaded  bool
	accepting    bool
	owner        bool // for good: the predecessor reclaims nothing any more
	orphaned     bool // the predecessor has exited
}

// NewSuccessor returns the state machine of a process that was started to take over.
func NewSuccessor(v Version) *Successor { return &Successor{version: v} }

// Owner reports whether the process is the owner for good.
func (s *Successor) Owner() bool { return s.owner }

// Accepting reports whether the process accepts and serves connections.
func (s *Successor) Accepting() bool { return s.accepting }

// Step takes one event and returns the actions to carry out, in order.
func (s *Successor) Step(_ time.Duration, event Event) []Action {
	switch event := event.(type) {
	case Started:
		hello := SendHello{Version: s.version, Problem: event.Problem}
		if event.Problem != "" {
			return []Action{hello, Exit{}}
		}
		return []Action{hello}
	case State:
		if !s.loadingState {
			s.loadingState = true
			return []Action{LoadState{}}
		}
	case StateLoaded:
		s.stateLoaded = true
		if s.orphaned {
			return s.takeOwnership()
		}
		return []Action{SendReady{}}
	case Activate:
		if s.stateLoaded && !s.accepting {
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

// predecessorExited takes ownership. While the state is being loaded, that waits for its
// end; without any state, the process serves like one that was just started.
func (s *Successor) predecessorExited() []Action {
	s.orphaned = true
	if s.owner || s.loadingState && !s.stateLoaded {
		return nil
	}
	return s.takeOwnership()
}

// takeOwnership makes the process the owner of all that was transferred, after the exit of
// the predecessor.
func (s *Successor) takeOwnership() []Action {
	s.owner = true
	if s.accepting {
		return []Action{StopRecording{}}
	}
	s.accepting = true
	return []Action{StopRecording{}, StartAccepting{}}
}
