package eventloop

import (
	"net"
	"testing"
	"time"

	"flaxrelay/internal/eventloop/eventlooptest"
	"flaxrelay/internal/tcptest"
)

// refuser is a recorder that leaves bytes in the buffer until want bytes have arrived, and can refuse what has arrived
// before.
type refuser struct {
	recorder
	want    int
	refused bool
}

func (r *refuser) OnData(c *Conn, in *Buffer) {
	if in.Len() >= r.want {
		r.recorder.OnData(c, in)
	}
}

func (r *refuser) RefusePartial() bool {
	r.refused = true
	r.conn.Close()
	return true
}

// listenForMessages returns the peers of connections that the loop has accepted, with their handlers. Each message has
// messageSize bytes.
func listenForMessages(t *testing.T, l *Loop, messageSize, connections int) (handlers []*refuser, peers []net.Conn) {
	t.Helper()
	accepted := make(chan *refuser, connections)
	listener, err := l.Listen("127.0.0.1:0", 2*messageSize, 0, func(c *Conn) Handler {
		r := &refuser{recorder: recorder{conn: c, closed: make(chan error, 1)}, want: messageSize}
		accepted <- r
		return r
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	for range connections {
		peers = append(peers, connect(t, listener))
		handlers = append(handlers, await(t, accepted, "the connection is accepted"))
	}
	return handlers, peers
}

// fillBudget makes a peer send size bytes and waits until the reader has them.
func fillBudget(t *testing.T, l *Loop, r *refuser, peer net.Conn, size int) {
	t.Helper()
	send(t, peer, make([]byte, size))
	awaitOnLoop(t, l, "the bytes are buffered", func() bool { return r.conn.UnreadBytes() == size })
}

// Guards against dropping a message that its peer has sent completely: while the buffers of others use up the budget,
// its bytes stay in the socket, and the message that has been incomplete for the longest time is refused.
func TestReadBudget_RefusesTheOldestIncompleteMessageAndDropsNoOther(t *testing.T) {
	const (
		messageSize = 4 * readSize
		// The order of two arrivals is not known if they are closer than this.
		arrivalStep = 20 * time.Millisecond
	)
	l, _ := startLoop(t)
	l.SetReadBudgets(2*(messageSize-1), readSize)
	handlers, peers := listenForMessages(t, l, messageSize, 3)
	for i := range 2 {
		fillBudget(t, l, handlers[i], peers[i], messageSize-1)
		time.Sleep(arrivalStep)
	}
	startedAt := time.Now()
	send(t, peers[2], make([]byte, messageSize))
	awaitOnLoop(t, l, "the complete message is delivered", func() bool { return len(handlers[2].data) == 1 })
	if took := time.Since(startedAt); took > minPartialAge+time.Second {
		t.Errorf("the message was delivered after %v", took)
	}
	eventlooptest.Do(l, func() {
		if !handlers[0].refused || handlers[1].refused || handlers[2].refused {
			t.Errorf("refused: %v, %v and %v, want the first only",
				handlers[0].refused, handlers[1].refused, handlers[2].refused)
		}
	})
	send(t, peers[1], "x")
	awaitOnLoop(t, l, "the second message is delivered", func() bool { return len(handlers[1].data) == 1 })
	checkEnd(t, &handlers[0].recorder, nil)
	if n := l.BufferedBytes(); n != 0 {
		t.Errorf("%d bytes still counted as buffered", n)
	}
}

// Guards against a budget that is exceeded by the reads of connections that were all granted one at the same time.
func TestReadBudget_HoldsWhileManyConnectionsWait(t *testing.T) {
	const (
		connections = 12
		messageSize = 8 * readSize
		// Each connection may exceed the budget by the first readSize bytes and by one read.
		limit = 3*messageSize + connections*readSize
	)
	l, _ := startLoop(t)
	l.SetReadBudgets(3*messageSize, readSize)
	handlers, peers := listenForMessages(t, l, messageSize, connections)
	for _, peer := range peers {
		go func() { _, _ = peer.Write(make([]byte, messageSize)) }()
	}
	most := int64(0)
	awaitOnLoop(t, l, "each message is delivered or refused", func() bool {
		most = max(most, l.BufferedBytes())
		for _, r := range handlers {
			if len(r.data) == 0 && !r.refused {
				return false
			}
		}
		return true
	})
	if most > limit {
		t.Errorf("%d bytes were buffered, want at most %d", most, limit)
	}
}

// Guards against a connection that stays in the queue, or keeps a grant, after it has ended: the others would wait
// forever.
func TestReadBudget_WaitingConnectionThatEndsLeavesTheQueue(t *testing.T) {
	const messageSize = 4 * readSize
	for _, test := range []struct {
		name string
		end  func(*Conn)
	}{
		{"Abort", (*Conn).Abort},
		{"Close", (*Conn).Close},
		{"CloseAfterLinger", (*Conn).CloseAfterLinger},
	} {
		t.Run(test.name, func(t *testing.T) {
			l, _ := startLoop(t)
			l.SetReadBudgets(2*readSize, readSize)
			r, peer := connectTo(t, l) // its handler can't refuse
			eventlooptest.Do(l, func() { r.ignoresData = true })
			_, _ = peer.Write(make([]byte, messageSize/2))
			awaitOnLoop(t, l, "the budget is used up", func() bool { return l.BufferedBytes() >= 2*readSize })
			waiting, waitingPeer := connectTo(t, l)
			eventlooptest.Do(l, func() { waiting.ignoresData = true })
			_, _ = waitingPeer.Write(make([]byte, messageSize/2))
			awaitOnLoop(t, l, "the connection waits", waiting.conn.AwaitsReadBudget)
			eventlooptest.Do(l, func() { test.end(waiting.conn) })
			checkEnd(t, waiting, nil)
			eventlooptest.Do(l, func() {
				if n := l.acceptedBudget.waitingCount(); n != 0 {
					t.Errorf("%d connections wait", n)
				}
				if n := l.acceptedBudget.granted; n != 0 {
					t.Errorf("%d grants are left", n)
				}
				if got := waiting.conn.closer.state.load(); got != connClosed {
					t.Errorf("state %d at the end, want %d", got, connClosed)
				}
				r.conn.Abort()
			})
			awaitEnd(t, r)
			if n := l.BufferedBytes(); n != 0 {
				t.Errorf("%d bytes still counted as buffered", n)
			}
		})
	}
}

// Guards against clients that use up the memory for the responses of engines and the frames of the event bus: the read
// budget of dialed connections is separate.
func TestReadBudget_ClientsDoNotDelayDialedConnections(t *testing.T) {
	const size = 2 * readSize
	l, _ := startLoop(t)
	l.SetReadBudgets(1, size)
	client, clientPeer := connectTo(t, l)
	eventlooptest.Do(l, func() { client.ignoresData = true })
	go func() { _, _ = clientPeer.Write(make([]byte, size)) }()
	awaitOnLoop(t, l, "the client waits for its budget", client.conn.AwaitsReadBudget)

	engine := tcptest.Listen(t, tcptest.AnyLoopbackPort)
	dialed := &recorder{closed: make(chan error, 1), ignoresData: true}
	l.Dial(engine.Addr().String(), awaitTimeout, 2*size, dialed, func(c *Conn, _ error) { dialed.conn = c })
	response, err := engine.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = response.Close() })
	send(t, response, make([]byte, size))
	awaitOnLoop(t, l, "the response is read", func() bool {
		return dialed.conn != nil && dialed.conn.UnreadBytes() == size
	})
}
