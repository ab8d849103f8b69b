package hotrestart

import (
	"fmt"
	"slices"
	"time"
)

// world is the state of the model: two processes, the channel between them, two clients and the engines.
// To limit the number of states, each client has one connection and sends one request. The booleans are
// independent of each other.
type world struct {
	predecessor Predecessor
	successor   Successor

	predecessorAlive bool
	successorAlive   bool // the successor was started and has not exited
	spawned          bool // the successor was started and its exit has not been reported
	started          bool // the successor has read its configuration, and reads the channel
	loadingState     bool // the successor is loading the state

	toSuccessor   []Event // messages in the channel
	toPredecessor []Event

	predecessorAccepts      bool
	successorAccepts        bool
	predecessorListenerOpen bool
	successorListenerOpen   bool

	conns       [2]client
	windowsOver bool // all idempotency windows have ended
	crashes     int
	hotRestarts int
}

// handler is the process that handles a request.
type handler byte

const (
	handlerNone        handler = iota // the request is in the socket, or has not been sent yet
	handlerPredecessor                // the predecessor has read the request
	handlerSuccessor                  // the successor has read the request
	handlerDone                       // the request has been handled
)

// stage is the successor's progress on a request.
type stage byte

const (
	stageNone stage = iota
	stageReceived
	stageForwardRecorded
	stageForwarded
	stageResponseRecorded
)

// client is one connection and the state of its request.
type client struct {
	effect             Effect
	predecessorOwns    bool // the predecessor owns the connection
	successorOwns      bool // the successor owns the connection
	requested          bool // the request was sent
	handler            handler
	stage              stage
	executions         int  // number of executions by engines
	executedPastWindow bool // the request was retried after its idempotency window
	responses          int
	closed             bool // the connection was closed without a response
	responseWritten    bool // the successor has written the response
}

// limit is the length of all timeouts. Steps happen at time 0, except for timeouts and heartbeats, which
// happen at limit.
const limit = time.Second

func modelConfig() Config {
	return Config{
		HelloTimeout:     limit,
		StateTimeout:     limit,
		MinProbation:     limit,
		MaxProbation:     limit,
		HeartbeatTimeout: limit,
		MinSuccesses:     1,
		MaxFailureRate:   0.5,
	}
}

func newWorld() world {
	w := world{
		predecessor:             *NewPredecessor(modelConfig(), Version{1, 0}),
		successor:               *NewSuccessor(Version{1, 1}),
		predecessorAlive:        true,
		predecessorAccepts:      true,
		predecessorListenerOpen: true,
	}
	for i := range w.conns {
		w.conns[i] = client{effect: []Effect{NonIdempotent, IdempotentByKey}[i], predecessorOwns: true}
		w.predecessor.Step(0, ConnAccepted{ConnID(i)})
	}
	return w
}

// Limits of one run.
const (
	maxCrashes     = 2
	maxHotRestarts = 1
)

func (w world) clone() world {
	w.predecessor.conns = slices.Clone(w.predecessor.conns)
	w.toSuccessor = slices.Clone(w.toSuccessor)
	w.toPredecessor = slices.Clone(w.toPredecessor)
	return w
}

// key returns a string that identifies the state, including the types of the messages in the channel. It
// clears the fields that do not influence the next steps.
func (w *world) key() string {
	w.predecessor.phaseStart = 0
	w.predecessor.lastMessage = 0
	w.predecessor.failureReason = ""
	return fmt.Sprintf("%#v", *w)
}

// faults are seeded mistakes in the protocol. Each removes one safeguard.
type faults struct {
	reclaimBeforeExit   bool // connections are reclaimed before the successor has exited
	reclaimBeforeDrain  bool // connections are reclaimed before all messages of the successor have been read
	forwardBeforeRecord bool // the successor forwards a request before it records the forwarding
	retryAnything       bool // a request that may have run is retried even if it is not idempotent
}

// The names of the steps that are faults of the environment.
const (
	stepSuccessorCrashes   = "successor crashes"
	stepPredecessorCrashes = "predecessor crashes"
)

// step is one possible next state.
type step struct {
	name string
	next world
}

// isProgress returns false for a crash and true for all other steps.
func (s step) isProgress() bool {
	return s.name != stepSuccessorCrashes && s.name != stepPredecessorCrashes
}

// stepPredecessor makes the predecessor handle an event and carries out its actions.
func (w *world) stepPredecessor(f faults, now time.Duration, event Event) {
	for _, action := range w.predecessor.Step(now, event) {
		switch action := action.(type) {
		case SpawnSuccessor:
			w.spawnSuccessor()
		case SendState:
			w.toSuccessor = append(w.toSuccessor, State{})
		case SendActivate:
			w.toSuccessor = append(w.toSuccessor, Activate{})
		case SendCommit:
			w.toSuccessor = append(w.toSuccessor, Commit{})
		case TransferConn:
			w.conns[action.Conn].predecessorOwns = false
			w.toSuccessor = append(w.toSuccessor, ConnTransferred(action))
		case StopAccepting:
			w.predecessorAccepts = false
		case StartAccepting:
			w.predecessorAccepts = true
		case KillSuccessor:
			if f.reclaimBeforeExit {
				w.stepPredecessor(f, now, SuccessorExited{})
			}
			w.killSuccessor()
		case ReclaimConn:
			w.reclaim(f, action)
		case Exit, BeginShutdown:
			w.endPredecessor()
		}
	}
}

// spawnSuccessor starts a successor with a new channel and the listener.
func (w *world) spawnSuccessor() {
	w.spawned = true
	w.successorAlive = true
	w.successorListenerOpen = true
	w.successor = *NewSuccessor(Version{1, 1})
	w.toSuccessor = nil
	w.toPredecessor = nil
	w.started = false
	w.loadingState = false
}

func (w *world) endPredecessor() {
	w.predecessorAlive = false
	w.predecessorAccepts = false
	w.predecessorListenerOpen = false
}

// killSuccessor ends the successor, which may have exited already.
func (w *world) killSuccessor() {
	w.successorAlive = false
	w.successorAccepts = false
	w.successorListenerOpen = false
}

// reclaim makes the predecessor the owner of a connection again and recovers its request.
func (w *world) reclaim(f faults, action ReclaimConn) {
	c := &w.conns[action.Conn]
	c.predecessorOwns = true
	if c.handler != handlerSuccessor {
		return // the successor handles no request of the connection; an unread one is still in the socket
	}
	now := time.Duration(0)
	if w.windowsOver {
		now = 10 * limit
	}
	written := 0
	if c.responseWritten {
		written = 1
	}
	recovery := Recover(action.Request, written, now)
	if f.retryAnything && recovery == ReportUnknownOutcome {
		recovery = Retry
	}
	switch recovery {
	case NoRecovery:
		// A request that was never recorded is read again by the predecessor, if it is still in the socket.
		if !action.Request.InFlight {
			if c.stage <= stageReceived {
				c.handler = handlerNone
				c.stage = stageNone
			}
			return
		}
		c.handler = handlerDone
	case CloseConnection:
		c.closed = true
		c.handler = handlerDone
	case ReportUnknownOutcome, ReportDeadlineExceeded:
		c.responses++
		c.handler = handlerDone
	case Retry:
		w.execute(c)
		c.responses++
		c.handler = handlerDone
	}
	if w.predecessor.connection(action.Conn) != nil {
		w.predecessor.Step(0, ConnIdle{action.Conn})
	}
}

func (w *world) execute(c *client) {
	if c.executions > 0 && w.windowsOver {
		c.executedPastWindow = true
	}
	c.executions++
}

// stepSuccessor makes the successor handle an event and carries out its actions.
func (w *world) stepSuccessor(event Event) {
	for _, action := range w.successor.Step(0, event) {
		switch action := action.(type) {
		case SendHello:
			w.toPredecessor = append(w.toPredecessor, Hello(action))
		case SendReady:
			w.toPredecessor = append(w.toPredecessor, Ready{})
		case LoadState:
			w.loadingState = true
		case StartAccepting:
			w.successorAccepts = true
		case AdoptConn:
			w.conns[action.Conn].successorOwns = true
		case Exit:
			w.killSuccessor()
		}
	}
}

// record makes the successor send its record of a request that has reached the given stage.
func (w *world) record(i int, reached stage) {
	if w.successor.Owner() {
		return
	}
	r := Request{
		InFlight:          true,
		Effect:            w.conns[i].effect,
		Forwarded:         reached >= stageForwardRecorded,
		IdempotencyWindow: 5 * limit,
		Deadline:          100 * limit,
	}
	if reached >= stageResponseRecorded {
		r.ResponseBytes = 1
	}
	w.toPredecessor = append(w.toPredecessor, RequestRecorded{ConnID(i), r})
}
