package hotrestart

// Event is an input of a state machine.
type Event interface{ event() }

// Events of the predecessor's own process.
type (
	// StartHotRestart requests a hot restart.
	StartHotRestart struct{}
	// Shutdown requests a graceful shutdown.
	Shutdown struct{}
	// ConnAccepted reports a new connection of this process.
	ConnAccepted struct{ Conn ConnID }
	// ConnBusy reports that a connection of this process can't be transferred now.
	ConnBusy struct{ Conn ConnID }
	// ConnIdle reports that a connection of this process can be transferred.
	ConnIdle struct{ Conn ConnID }
	// ConnClosed reports that a connection of this process was closed.
	ConnClosed struct{ Conn ConnID }
	// SuccessorExited reports that the successor has exited and that all its messages in the channel
	// have been read.
	SuccessorExited struct{}
	// SuccessorMemory reports how much memory the successor uses.
	SuccessorMemory struct{ Bytes int64 }
	// Tick reports only the time.
	Tick struct{}
)

// Messages from the successor to the predecessor.
type (
	// Hello identifies the successor. Problem is the reason why it can't take over, such as an invalid
	// configuration or a limit that is too low; "" means that it can.
	Hello struct {
		Version Version
		Problem string
	}
	// Ready reports that the successor has loaded the state and is able to serve.
	Ready struct{}
	// Heartbeat reports that the successor is alive, and the number of its responses since the last
	// heartbeat.
	Heartbeat struct{ Successes, Failures int }
	// SuccessorAccepted carries a duplicate of a connection that the successor accepted.
	SuccessorAccepted struct{ Conn ConnID }
	// RequestRecorded carries the successor's record of the request of a connection.
	RequestRecorded struct {
		Conn    ConnID
		Request Request
	}
	// SuccessorClosed reports that a connection of the successor was closed.
	SuccessorClosed struct{ Conn ConnID }
)

// Events of the successor's own process.
type (
	// Started reports that the process runs and has read its configuration. Problem is the reason why it
	// can't serve; "" means that it can.
	Started struct{ Problem string }
	// StateLoaded reports that the state was loaded.
	StateLoaded struct{}
	// PredecessorExited reports the end of the channel, which proves that the predecessor has exited.
	PredecessorExited struct{}
)

// Messages from the predecessor to the successor.
type (
	// State carries the state of the predecessor.
	State struct{}
	// Activate requests that the successor accepts connections.
	Activate struct{}
	// ConnTransferred carries a connection with its state.
	ConnTransferred struct{ Conn ConnID }
	// Commit notifies the successor that it is the final owner.
	Commit struct{}
)

func (StartHotRestart) event()   {}
func (Shutdown) event()          {}
func (ConnAccepted) event()      {}
func (ConnBusy) event()          {}
func (ConnIdle) event()          {}
func (ConnClosed) event()        {}
func (SuccessorExited) event()   {}
func (SuccessorMemory) event()   {}
func (Tick) event()              {}
func (Hello) event()             {}
func (Ready) event()             {}
func (Heartbeat) event()         {}
func (SuccessorAccepted) event() {}
func (RequestRecorded) event()   {}
func (SuccessorClosed) event()   {}
func (Started) event()           {}
func (StateLoaded) event()       {}
func (PredecessorExited) event() {}
func (State) event()             {}
func (Activate) event()          {}
func (ConnTransferred) event()   {}
func (Commit) event()            {}
