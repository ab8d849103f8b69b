package hotrestart

// Action is an output of a state machine, which its caller must carry out.
type Action interface{ action() }

// Actions of the predecessor.
type (
	// SpawnSuccessor starts the successor, with the channel and the listeners.
	SpawnSuccessor struct{}
	// SendState sends State.
	SendState struct{}
	// StopAccepting stops accepting connections. The listeners stay open.
	StopAccepting struct{}
	// SendActivate sends Activate.
	SendActivate struct{}
	// TransferConn stops reading a connection and sends ConnTransferred. The predecessor keeps a
	// duplicate of the descriptor until ReleaseConn.
	TransferConn struct{ Conn ConnID }
	// SendCommit sends Commit.
	SendCommit struct{}
	// ReleaseConn closes the duplicate of a connection's descriptor.
	ReleaseConn struct{ Conn ConnID }
	// KillSuccessor kills the successor. SuccessorExited follows.
	KillSuccessor struct{}
	// ReclaimConn makes the predecessor the owner of a connection again. Recover decides what happens to
	// the connection's request, after the kernel has reported how much of the response was written.
	ReclaimConn struct {
		Conn    ConnID
		Request Request
	}
	// ReportResult reports the result of the hot restart to its requester. Failure is "" on success.
	ReportResult struct{ Failure string }
	// BeginShutdown starts the graceful shutdown.
	BeginShutdown struct{}
)

// Actions of both processes.
type (
	// StartAccepting starts accepting connections.
	StartAccepting struct{}
	// Exit ends the process.
	Exit struct{}
)

// Actions of the successor.
type (
	// SendHello sends Hello.
	SendHello struct {
		Version Version
		Problem string
	}
	// SendReady sends Ready.
	SendReady struct{}
	// LoadState starts loading the state. StateLoaded follows.
	LoadState struct{}
	// AdoptConn starts to serve a transferred connection.
	AdoptConn struct{ Conn ConnID }
	// StopRecording stops sending records of requests, because the predecessor can no longer reclaim
	// connections.
	StopRecording struct{}
)

func (SpawnSuccessor) action() {}
func (SendState) action()      {}
func (StopAccepting) action()  {}
func (SendActivate) action()   {}
func (TransferConn) action()   {}
func (SendCommit) action()     {}
func (ReleaseConn) action()    {}
func (KillSuccessor) action()  {}
func (ReclaimConn) action()    {}
func (ReportResult) action()   {}
func (BeginShutdown) action()  {}
func (StartAccepting) action() {}
func (Exit) action()           {}
func (SendHello) action()      {}
func (SendReady) action()      {}
func (LoadState) action()      {}
func (AdoptConn) action()      {}
func (StopRecording) action()  {}
