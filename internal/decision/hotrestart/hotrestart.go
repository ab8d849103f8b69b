// Package hotrestart models a hot restart. No program links the package; only its model test uses it.
//
// In a hot restart, one process of flaxrelay (the predecessor) hands its listeners, its client
// connections and its work over to a newer process (the successor), and reclaims them if the
// hot restart fails.
//
// The package consists of two state machines without I/O, Predecessor and Successor. Their method
// Step handles an event (a message from the other process, a change of a connection, a tick) and
// returns actions, which the caller must carry out in order. The model test explores all
// interleavings.
//
// The protocol relies on three properties of the system:
//
//   - The predecessor is the parent of the successor. It can kill the successor, and the kernel
//     reports the successor's exit. Connections are reclaimed only after that report and after all
//     messages of the successor in the channel have been read. A silent successor is never taken for
//     one that has exited.
//   - The predecessor never closes the channel while both processes run. A read that reaches the end
//     of the channel therefore proves to the successor that the predecessor has exited.
//   - Once a descriptor has been sent over a unix socket, the kernel holds it. The receiver gets it even
//     if the sender exits at once (unix(7), SCM_RIGHTS).
//
// Therefore no acknowledgements are needed: the successor owns a connection as soon as the predecessor
// has sent it, and the two processes never own it at the same time. A connection with a request in flight is
// transferred after the response.
//
// The phases of the predecessor:
//
//	Idle --StartHotRestart--> AwaitingHello --Hello--> TransferringState --Ready--> Probation
//	  --enough Heartbeats--> Draining --last connection closed or transferred--> Exited
//	AwaitingHello, TransferringState, Probation --timeout, problem, Shutdown--> RollingBack
//	AwaitingHello, TransferringState, Probation, RollingBack --SuccessorExited--> Idle
package hotrestart

import "time"

// Phase is the predecessor's phase of a hot restart.
type Phase uint8

// Phases of the predecessor.
const (
	Idle              Phase = iota // no hot restart is in progress
	AwaitingHello                  // the successor was started and has not sent its hello
	TransferringState              // the successor loads the state and has not reported that it is ready
	Probation                      // the successor accepts and serves; its connections can still be reclaimed
	Draining                       // the successor is the final owner; the predecessor completes its own requests
	RollingBack                    // the successor was killed; connections are reclaimed after its exit
	Exited                         // the predecessor exits
)

var phaseNames = [...]string{
	"idle", "awaiting hello", "transferring state", "probation", "draining", "rolling back", "exited",
}

// String implements fmt.Stringer.
func (p Phase) String() string { return phaseNames[p] }

// Config limits a hot restart. All times but HeartbeatTimeout count from the start of their phase.
type Config struct {
	HelloTimeout     time.Duration // until the successor's hello, including the time to read its program from disk
	StateTimeout     time.Duration // until the successor has loaded the state and is ready
	MinProbation     time.Duration // shortest probation
	MaxProbation     time.Duration // longest probation, even with fewer than MinSuccesses; above MinProbation
	HeartbeatTimeout time.Duration // longest time without a message from the successor during the probation
	MinSuccesses     int           // number of successful responses that end the probation after MinProbation
	MaxFailureRate   float64       // share of responses that may be errors of the successor itself, 0 to 1
	MaxMemoryBytes   int64         // limit of the successor's memory; 0: no limit
}

// DefaultConfig returns limits for a machine that has the capacity for both processes at once.
func DefaultConfig() Config {
	return Config{
		HelloTimeout:     5 * time.Second,
		StateTimeout:     10 * time.Second,
		MinProbation:     3 * time.Second,
		MaxProbation:     15 * time.Second,
		HeartbeatTimeout: time.Second,
		MinSuccesses:     20,
		MaxFailureRate:   0.1,
	}
}

// Version is the version of the protocol: how state and messages are encoded.
type Version struct{ Major, Minor int }

// CompatibleWith reports whether two versions can communicate: their major versions are
// equal, and their minor ones differ by at most one.
func (v Version) CompatibleWith(other Version) bool {
	return v.Major == other.Major && v.Minor-other.Minor <= 1 && other.Minor-v.Minor <= 1
}

// ConnID identifies a connection in both processes.
type ConnID uint32
