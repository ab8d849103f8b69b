package eventloop

import (
	"github.com/lesismal/nbio"
	"github.com/lesismal/nbio/logging"
)

// readSize is how much one read takes, in bytes. A connection whose read-ahead is
// limited goes on being read up to this size.
const readSize = 32 << 10

// maxPendingWrite bounds, in bytes, what is queued for a peer that reads slowly; past it
// nbio closes the connection.
const maxPendingWrite = 8 << 20

// spareFiles is how many descriptors beyond the program's own limit nbio has room for.
const spareFiles = 64

// newPoller returns an nbio engine whose events go to the connections of this loop. The
// session of each nbio connection is its *Conn.
func (l *Loop) newPoller(maxFiles int) *nbio.Engine {
	logging.SetLevel(logging.LevelNone)
	if maxFiles > 0 {
		nbio.MaxOpenFiles = maxFiles + spareFiles
	}
	poller := nbio.NewEngine(nbio.Config{
		Name:               "flaxrelay",
		NPoller:            1,
		ReadBufferSize:     readSize,
		MaxWriteBufferSize: maxPendingWrite,
		// Edge-triggered, so that what is left unread while a buffer is full raises no
		// further event.
		EpollMod: nbio.EPOLLET,
	})
	poller.OnOpen(func(*nbio.Conn) {})
	readBuffer := make([]byte, readSize) // of the poller's goroutine
	poller.OnRead(func(socket *nbio.Conn) {
		if c, ok := socket.Session().(*Conn); ok {
			c.read(readBuffer)
		}
	})
	poller.OnWrittenSize(func(socket *nbio.Conn, _ []byte, n int) {
		if c, ok := socket.Session().(*Conn); ok {
			c.bytesWritten(n)
		}
	})
	poller.OnClose(func(socket *nbio.Conn, err error) {
		if c, ok := socket.Session().(*Conn); ok {
			c.disconnected.Store(true)
			l.Post(func() { c.finish(err) })
		}
	})
	return poller
}
