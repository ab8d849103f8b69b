package hotrestart

import "fmt"

// addStep applies a change to a copy of the current state, and adds the copy to the possible next states.
type addStep func(name string, change func(*world))

// steps returns all possible next states. Crashes come last.
func (w world) steps(f faults) (all []step) {
	add := func(name string, change func(*world)) {
		next := w.clone()
		change(&next)
		all = append(all, step{name, next})
	}
	w.processSteps(f, add)
	w.channelSteps(f, add)
	w.timeSteps(f, add)
	for i := range w.conns {
		w.clientSteps(i, f, add)
	}
	w.crashSteps(add)
	return all
}

// processSteps adds the request for a hot restart and the steps of the successor's start.
func (w world) processSteps(f faults, add addStep) {
	if w.predecessorAlive && w.hotRestarts < maxHotRestarts && w.predecessor.phase == Idle {
		add("hot restart requested", func(n *world) {
			n.hotRestarts++
			n.stepPredecessor(f, 0, StartHotRestart{})
		})
	}
	if w.successorAlive && !w.started {
		add("successor starts", func(n *world) {
			n.started = true
			n.stepSuccessor(Started{})
		})
		add("successor can't serve", func(n *world) {
			n.started = true
			n.stepSuccessor(Started{"port"})
		})
	}
	if w.successorAlive && w.loadingState {
		add("successor has loaded the state", func(n *world) {
			n.loadingState = false
			n.stepSuccessor(StateLoaded{})
		})
	}
}

// channelSteps adds three kinds of steps: a process reads its next message, the successor reads the end of the
// channel, and the successor's exit is reported.
func (w world) channelSteps(f faults, add addStep) {
	if w.successorAlive && w.started && len(w.toSuccessor) > 0 {
		add("message to successor", func(n *world) {
			message := n.toSuccessor[0]
			n.toSuccessor = n.toSuccessor[1:]
			n.stepSuccessor(message)
		})
	}
	if w.successorAlive && w.started && !w.predecessorAlive && len(w.toSuccessor) == 0 && !w.successor.orphaned {
		add("successor reads the end of the channel", func(n *world) { n.stepSuccessor(PredecessorExited{}) })
	}
	if w.predecessorAlive && len(w.toPredecessor) > 0 {
		add("message to predecessor", func(n *world) {
			message := n.toPredecessor[0]
			n.toPredecessor = n.toPredecessor[1:]
			n.stepPredecessor(f, 0, message)
		})
	}
	if w.predecessorAlive && w.spawned && !w.successorAlive && (len(w.toPredecessor) == 0 || f.reclaimBeforeDrain) {
		add("successor's exit is reported", func(n *world) {
			n.spawned = false
			n.toPredecessor = nil
			n.stepPredecessor(f, 0, SuccessorExited{})
		})
	}
}

// timeSteps adds the end of timeouts and idempotency windows, and heartbeats.
func (w world) timeSteps(f faults, add addStep) {
	if w.predecessorAlive && w.predecessor.canRollBack() {
		add("time passes", func(n *world) { n.stepPredecessor(f, limit, Tick{}) })
	}
	if w.predecessorAlive && w.successorAlive && w.predecessor.phase == Probation && w.successor.Accepting() {
		add("heartbeat", func(n *world) { n.stepPredecessor(f, limit, Heartbeat{Successes: 1}) })
	}
	if !w.windowsOver {
		add("idempotency windows end", func(n *world) { n.windowsOver = true })
	}
}

// crashSteps adds the crash of each process, up to maxCrashes in all.
func (w world) crashSteps(add addStep) {
	if w.crashes >= maxCrashes {
		return
	}
	if w.successorAlive {
		add(stepSuccessorCrashes, func(n *world) {
			n.crashes++
			n.killSuccessor()
		})
	}
	if w.predecessorAlive {
		add(stepPredecessorCrashes, func(n *world) {
			n.crashes++
			n.endPredecessor()
		})
	}
}

// clientSteps adds the possible steps of one client and its request.
func (w world) clientSteps(i int, f faults, add addStep) {
	c := w.conns[i]
	name := func(s string) string { return fmt.Sprintf("%s %d", s, i) }
	if !c.requested {
		add(name("client sends request"), func(n *world) { n.conns[i].requested = true })
	}
	if c.requested && c.handler == handlerNone && c.predecessorOwns && w.predecessorAlive {
		add(name("predecessor reads request"), func(n *world) {
			n.conns[i].handler = handlerPredecessor
			n.stepPredecessor(f, 0, ConnBusy{ConnID(i)})
		})
	}
	if c.handler == handlerPredecessor && w.predecessorAlive {
		add(name("predecessor responds"), func(n *world) {
			responding := &n.conns[i]
			n.execute(responding)
			responding.responses++
			responding.handler = handlerDone
			n.stepPredecessor(f, 0, ConnIdle{ConnID(i)})
		})
	}
	if !c.successorOwns || !w.successorAlive {
		return
	}
	forward := func(n *world) {
		n.conns[i].stage = stageForwarded
		n.execute(&n.conns[i])
	}
	switch {
	case c.requested && c.handler == handlerNone:
		add(name("successor reads request"), func(n *world) {
			n.conns[i].handler = handlerSuccessor
			n.conns[i].stage = stageReceived
			n.record(i, stageReceived)
		})
	case c.handler == handlerSuccessor && c.stage == stageReceived && f.forwardBeforeRecord:
		add(name("successor forwards request"), forward)
	case c.handler == handlerSuccessor && c.stage == stageReceived:
		add(name("successor records the forwarding"), func(n *world) {
			n.conns[i].stage = stageForwardRecorded
			n.record(i, stageForwardRecorded)
		})
	case c.handler == handlerSuccessor && c.stage == stageForwardRecorded:
		add(name("successor forwards request"), forward)
	case c.handler == handlerSuccessor && c.stage == stageForwarded:
		add(name("successor records the response"), func(n *world) {
			n.conns[i].stage = stageResponseRecorded
			n.record(i, stageResponseRecorded)
		})
	case c.handler == handlerSuccessor && c.stage == stageResponseRecorded:
		add(name("successor responds"), func(n *world) {
			n.conns[i].responseWritten = true
			n.conns[i].responses++
			n.conns[i].handler = handlerDone
		})
	}
}

// violation returns the invariant that the state violates, or "".
func (w *world) violation() string {
	for i, c := range w.conns {
		switch {
		case c.predecessorOwns && c.successorOwns && w.predecessorAlive && w.successorAlive:
			return fmt.Sprintf("connection %d has two owners", i)
		case c.responses > 1:
			return fmt.Sprintf("request %d has more than one response", i)
		case c.effect == NonIdempotent && c.executions > 1:
			return fmt.Sprintf("non-idempotent request %d was executed more than once", i)
		case c.executedPastWindow:
			return fmt.Sprintf("request %d was retried after its idempotency window", i)
		}
	}
	if (w.predecessorAlive || w.successorAlive) && !w.predecessorListenerOpen && !w.successorListenerOpen {
		return "the listener is closed"
	}
	return ""
}

// deadlock is called for a state in which only crashes are possible. It returns what can no longer complete, or ""
// if nothing is incomplete.
func (w *world) deadlock() string {
	if !w.predecessorAlive && !w.successorAlive {
		return "" // no process is left that could respond
	}
	accepting := w.predecessorAlive && w.predecessorAccepts || w.successorAlive && w.successorAccepts
	if !accepting {
		return "no process accepts connections"
	}
	for i, c := range w.conns {
		// The kernel closes the connections of a process that exits.
		connected := c.predecessorOwns && w.predecessorAlive || c.successorOwns && w.successorAlive
		if c.requested && c.responses == 0 && !c.closed && connected {
			return fmt.Sprintf("request %d has no response", i)
		}
	}
	return ""
}
