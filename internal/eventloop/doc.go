// Package eventloop runs the sockets and the timers of the program.
//
// # Use
//
// New returns a Loop, and Loop.Run runs it on the calling goroutine until Loop.Stop. Loop.Listen and Loop.Dial make
// connections. The Handler of a connection is called when bytes have arrived and when the connection has ended. It
// responds with Conn.Write, and ends the connection with one of the Close methods or with Conn.Abort.
//
//	loop, err := eventloop.New()
//	if err != nil {
//		return err
//	}
//	newHandler := func(c *eventloop.Conn) eventloop.Handler { return &session{conn: c} }
//	listener, err := loop.Listen("127.0.0.1:8080", maxMessage, 0, newHandler)
//	if err != nil {
//		return err
//	}
//	loop.Timers.Schedule(loop.Now()+time.Minute, func() { _ = listener.Close() })
//	loop.Run()
//
// Handlers, timers and posted functions run one at a time on the goroutine of Run, called the loop's goroutine below.
// They must not block. State that only they use needs no lock. Other goroutines pass functions to the loop's goroutine
// with Loop.Post.
//
// # Parts
//
// A Conn consists of three parts over one socket, each with its own state:
//
//   - reader fills the read buffer and hands it to the handler;
//   - writer counts the bytes that wait to be sent, and reports when all are sent;
//   - closer runs the state machine of the close. Its diagram is in the comment of connState.
//
// A socket makes the system calls and queues the bytes that the kernel does not accept at once. The poller waits for
// the events of all sockets. A readBudget limits the memory of the read buffers. An acceptor accepts the connections of
// a listener, and a dialer makes those of Loop.Dial.
//
// # Goroutines
//
//   - The loop's goroutine calls handlers, runs timers and posted functions, writes to sockets, and resumes reading
//     once the handler has made space in a full buffer. It reads a socket only before it closes an idle connection
//     and after a failed write. It alone changes the state of a connection's close.
//   - The poller's goroutine reads the sockets that are readable, sends the queued bytes of those that are writable,
//     and closes those whose stream has ended or failed. It calls no handler: it posts to the loop's goroutine.
//   - Each listener has a goroutine that accepts, and each dial has a goroutine that connects. They post the
//     new socket.
//
// Loop.Post, Loop.Now, Loop.Dial, Loop.Listen, Loop.SetReadBudgets, Loop.BufferedBytes and the Close of a listener may
// be called from any goroutine. Every other exported method of Loop, Conn and Buffer must be called on the loop's
// goroutine.
//
// # Locks
//
//   - reader.mu guards the read buffer of a connection. It is held during Handler.OnData, so that the poller cannot
//     change the buffer meanwhile. OnData must therefore not call Conn.UnreadBytes or Conn.CloseIfIdle, which lock it.
//   - socket.mu guards the descriptor of a socket, its send queue and the events that the poller waits for. It is held
//     during each system call on the descriptor, so that no call uses the number of a closed descriptor, which the
//     kernel may have reused.
//   - poller.mu guards the poller's table of sockets.
//   - readBudget.mu guards the queue of the connections that wait for memory.
//   - taskQueue.mu guards the functions that wait for the loop's goroutine.
//
// The mutexes are locked in this order: reader.mu, then socket.mu, then poller.mu, readBudget.mu or taskQueue.mu. No
// other lock is taken while one of the last three is held. No lock is held when a posted function starts, a timer fires
// or Handler.OnClosed is called. The state of the close and the counts of buffered and of pending bytes are atomic and
// need no lock.
//
// A method whose name ends in Locked must be called with the mutex of its type held.
package eventloop
