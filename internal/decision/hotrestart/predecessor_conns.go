package hotrestart

import (
	"slices"
	"time"
)

// connection returns the record of a connection, or nil.
func (p *Predecessor) connection(id ConnID) *connection {
	for i := range p.conns {
		if p.conns[i].id == id {
			return &p.conns[i]
		}
	}
	return nil
}

// owned returns the record of a connection of this process, or nil.
func (p *Predecessor) owned(id ConnID) *connection {
	if c := p.connection(id); c != nil && c.state != connTransferred {
		return c
	}
	return nil
}

// transferred returns the record of a connection of the successor, or nil.
func (p *Predecessor) transferred(id ConnID) *connection {
	if c := p.connection(id); c != nil && c.state == connTransferred {
		return c
	}
	return nil
}

// forget removes the record of a connection.
func (p *Predecessor) forget(id ConnID) {
	p.conns = slices.DeleteFunc(p.conns, func(c connection) bool { return c.id == id })
}

// transfersIdleConns reports whether a connection is transferred as soon as it is idle.
func (p *Predecessor) transfersIdleConns() bool { return p.phase == Probation || p.phase == Draining }

// handleConnIdle handles a connection that can be transferred.
func (p *Predecessor) handleConnIdle(id ConnID) []Action {
	c := p.owned(id)
	if c == nil {
		return nil
	}
	c.state = connIdle
	if !p.transfersIdleConns() {
		return nil
	}
	return append(p.transfer(id), p.exitWhenDrained()...)
}

// handleConnMessage handles a message from the successor about one connection. It accepts records in every
// phase, including RollingBack, because the last messages are read after the successor's exit.
func (p *Predecessor) handleConnMessage(event Event) []Action {
	switch event := event.(type) {
	case SuccessorAccepted:
		if p.phase != Probation && p.phase != RollingBack {
			return []Action{ReleaseConn(event)}
		}
		p.conns = append(p.conns, connection{id: event.Conn, state: connTransferred})
	case RequestRecorded:
		if c := p.transferred(event.Conn); c != nil {
			c.request = event.Request
		}
	case SuccessorClosed:
		if p.transferred(event.Conn) != nil {
			p.forget(event.Conn)
			return []Action{ReleaseConn(event)}
		}
	}
	return nil
}

// beginProbation starts the handover: the successor accepts new connections, and every idle
// connection is transferred.
func (p *Predecessor) beginProbation(now time.Duration) []Action {
	p.enter(Probation, now)
	actions := []Action{StopAccepting{}, SendActivate{}}
	for _, c := range p.conns {
		if c.state == connIdle {
			actions = append(actions, p.transfer(c.id)...)
		}
	}
	return actions
}

// transfer makes the successor the owner of a connection. While draining, connections are no longer
// reclaimed, so the duplicate of the descriptor is released at once.
func (p *Predecessor) transfer(id ConnID) []Action {
	if p.phase == Draining {
		p.forget(id)
		return []Action{TransferConn{id}, ReleaseConn{id}}
	}
	c := p.connection(id)
	c.state = connTransferred
	c.request = Request{}
	return []Action{TransferConn{id}}
}

// reclaim makes this process the owner of all transferred connections again.
func (p *Predecessor) reclaim() (actions []Action) {
	for i := range p.conns {
		c := &p.conns[i]
		if c.state != connTransferred {
			continue
		}
		actions = append(actions, ReclaimConn{Conn: c.id, Request: c.request})
		c.state = connIdle
		if c.request.InFlight {
			c.state = connBusy
		}
		c.request = Request{}
	}
	return actions
}

// handleHeartbeat evaluates the successor's responses during the probation.
func (p *Predecessor) handleHeartbeat(now time.Duration, heartbeat Heartbeat) []Action {
	p.successes += heartbeat.Successes
	p.failures += heartbeat.Failures
	total := p.successes + p.failures
	if total >= p.cfg.MinSuccesses && float64(p.failures) > p.cfg.MaxFailureRate*float64(total) {
		return p.rollBack(now, "too many responses of the successor are its own errors")
	}
	elapsed := now - p.phaseStart
	if elapsed < p.cfg.MinProbation || p.successes < p.cfg.MinSuccesses && elapsed < p.cfg.MaxProbation {
		return nil
	}
	if p.successes == 0 && p.failures > 0 {
		return p.rollBack(now, "no response of the successor was successful")
	}
	return p.commit(now)
}

// commit makes the successor the final owner.
func (p *Predecessor) commit(now time.Duration) []Action {
	p.enter(Draining, now)
	actions := []Action{SendCommit{}}
	for _, c := range p.conns {
		if c.state == connTransferred {
			actions = append(actions, ReleaseConn{c.id})
		}
	}
	p.conns = slices.DeleteFunc(p.conns, func(c connection) bool { return c.state == connTransferred })
	return append(append(actions, ReportResult{}), p.exitWhenDrained()...)
}

// exitWhenDrained makes the process exit if it is draining and has no connections left.
func (p *Predecessor) exitWhenDrained() []Action {
	if p.phase != Draining || len(p.conns) > 0 {
		return nil
	}
	p.phase = Exited
	return []Action{Exit{}}
}
