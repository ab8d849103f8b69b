package hotrestart

import "time"

// connState is the ownership of a connection, and whether this process can transfer it.
type connState uint8

const (
	// connIdle: the connection is owned by this process and can be transferred.
	connIdle connState = iota
	// connBusy: the connection is owned by this process and can't be transferred, because a request is
	// in flight, or part of a message was read or remains to be written.
	connBusy
	// connTransferred: the successor owns the connection. This process keeps a duplicate of its
	// descriptor.
	connTransferred
)

// connection is the predecessor's record of a connection.
type connection struct {
	id      ConnID
	state   connState
	request Request // as recorded by the successor
}

// Predecessor is the state machine of the process that hands over its work. It is not safe for
// concurrent use.
type Predecessor struct {
	cfg     Config
	version Version

	phase         Phase
	phaseStart    time.Duration
	lastMessage   time.Duration // time of the successor's last message
	successes     int           // successful responses of the successor during the probation
	failures      int           // failed responses of the successor during the probation
	failureReason string        // reason of the rollback

	shutdownRequested bool // a shutdown follows when the hot restart has ended
	conns             []connection
}

// NewPredecessor returns the state machine of a process that is serving.
func NewPredecessor(cfg Config, version Version) *Predecessor {
	return &Predecessor{cfg: cfg, version: version}
}

// Phase returns the phase of the hot restart.
func (p *Predecessor) Phase() Phase { return p.phase }

// Step handles one event and returns the actions to carry out, in order.
func (p *Predecessor) Step(now time.Duration, event Event) []Action {
	switch event := event.(type) {
	case StartHotRestart:
		return p.startHotRestart(now)
	case Shutdown:
		return p.handleShutdown(now)
	case ConnAccepted:
		p.conns = append(p.conns, connection{id: event.Conn})
		if p.transfersIdleConns() { // the connection was accepted just before StopAccepting
			return p.transfer(event.Conn)
		}
	case ConnBusy:
		if c := p.owned(event.Conn); c != nil {
			c.state = connBusy
		}
	case ConnIdle:
		return p.handleConnIdle(event.Conn)
	case ConnClosed:
		if p.owned(event.Conn) != nil {
			p.forget(event.Conn)
			return p.exitWhenDrained()
		}
	case SuccessorExited:
		return p.handleSuccessorExit(now)
	case SuccessorMemory:
		if p.cfg.MaxMemoryBytes > 0 && event.Bytes > p.cfg.MaxMemoryBytes && p.canRollBack() {
			return p.rollBack(now, "the successor uses too much memory")
		}
	case Tick:
		return p.checkTimeouts(now)
	default:
		return p.handleMessage(now, event)
	}
	return nil
}

// startHotRestart starts a hot restart, unless another one or a shutdown is in progress.
func (p *Predecessor) startHotRestart(now time.Duration) []Action {
	if p.phase != Idle || p.shutdownRequested {
		return []Action{ReportResult{"another hot restart or a shutdown is in progress"}}
	}
	p.enter(AwaitingHello, now)
	p.lastMessage = now
	p.successes = 0
	p.failures = 0
	p.failureReason = ""
	return []Action{SpawnSuccessor{}}
}

// handleShutdown handles the request for a graceful shutdown. A hot restart that is not committed is
// rolled back first.
func (p *Predecessor) handleShutdown(now time.Duration) []Action {
	if p.shutdownRequested {
		return nil
	}
	p.shutdownRequested = true
	switch {
	case p.phase == Idle:
		return []Action{BeginShutdown{}}
	case p.canRollBack():
		return p.rollBack(now, "a shutdown was requested")
	}
	return nil // RollingBack: the shutdown follows the rollback; Draining: the process exits anyway
}

// handleMessage handles a message from the successor.
func (p *Predecessor) handleMessage(now time.Duration, event Event) []Action {
	p.lastMessage = now
	switch event := event.(type) {
	case SuccessorAccepted, RequestRecorded, SuccessorClosed:
		return p.handleConnMessage(event)
	case Hello:
		return p.handleHello(now, event)
	case Ready:
		if p.phase == TransferringState {
			return p.beginProbation(now)
		}
	case Heartbeat:
		if p.phase == Probation {
			return p.handleHeartbeat(now, event)
		}
	}
	return nil
}

// handleHello checks whether the successor can take over.
func (p *Predecessor) handleHello(now time.Duration, hello Hello) []Action {
	switch {
	case p.phase != AwaitingHello:
		return nil
	case hello.Problem != "":
		return p.rollBack(now, hello.Problem)
	case !p.version.CompatibleWith(hello.Version):
		return p.rollBack(now, "the successor's protocol version is not compatible")
	}
	p.enter(TransferringState, now)
	return []Action{SendState{}}
}

// checkTimeouts rolls the hot restart back if a timeout of the current phase has expired.
func (p *Predecessor) checkTimeouts(now time.Duration) []Action {
	elapsed := now - p.phaseStart
	switch p.phase {
	case AwaitingHello:
		if elapsed >= p.cfg.HelloTimeout {
			return p.rollBack(now, "the successor sent no hello in time")
		}
	case TransferringState:
		if elapsed >= p.cfg.StateTimeout {
			return p.rollBack(now, "the successor was not ready in time")
		}
	case Probation:
		if now-p.lastMessage >= p.cfg.HeartbeatTimeout {
			return p.rollBack(now, "the successor sent no heartbeat in time")
		}
	case Idle, Draining, RollingBack, Exited: // these phases have no timeout
	}
	return nil
}

func (p *Predecessor) enter(phase Phase, now time.Duration) {
	p.phase = phase
	p.phaseStart = now
}

// canRollBack reports whether the successor runs and may still be killed.
func (p *Predecessor) canRollBack() bool {
	return p.phase == AwaitingHello || p.phase == TransferringState || p.phase == Probation
}

// rollBack kills the successor. Connections are reclaimed only after SuccessorExited, because the
// successor may write to its connections until then.
func (p *Predecessor) rollBack(now time.Duration, reason string) []Action {
	p.failureReason = reason
	p.enter(RollingBack, now)
	return []Action{KillSuccessor{}}
}

// handleSuccessorExit reclaims all connections, unless the successor was already the final owner.
func (p *Predecessor) handleSuccessorExit(now time.Duration) []Action {
	if p.phase == Idle || p.phase == Draining || p.phase == Exited {
		return nil
	}
	if p.phase != RollingBack {
		p.failureReason = "the successor exited unexpectedly"
	}
	accepting := p.phase == AwaitingHello || p.phase == TransferringState
	p.enter(Idle, now)
	actions := p.reclaim()
	if !accepting {
		actions = append(actions, StartAccepting{})
	}
	actions = append(actions, ReportResult{p.failureReason})
	if p.shutdownRequested {
		actions = append(actions, BeginShutdown{})
	}
	return actions
}
