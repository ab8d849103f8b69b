package eventloop

import (
	"errors"
	"net"

	"golang.org/x/sys/unix"
)

// maxPendingWrite is the largest number of bytes that may wait to be sent on one socket. A write that would exceed it
// fails and ends the connection: the peer reads too slowly.
const maxPendingWrite = 8 << 20

// write sends data, or queues what the socket does not accept at once. If it returns an error, the data was not sent
// completely and the connection will end.
func (s *socket) write(data []byte) error {
	err := s.tryWrite(data)
	if err != nil && !errors.Is(err, net.ErrClosed) {
		s.failWrites(err)
	}
	return err
}

// flush sends the queued bytes.
func (s *socket) flush() {
	if err := s.tryFlush(); err != nil {
		s.failWrites(err)
	}
}

// failWrites ends the sending direction after an error, and reports the first such error to the owner.
func (s *socket) failWrites(err error) {
	if s.stopSending() {
		s.owner.writeFailed(err)
	}
}

// stopSending drops the queue, and reports whether the socket was able to send until now.
func (s *socket) stopSending() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.state != socketOpen {
		return false
	}
	s.state = socketWriteFailed
	s.queue.clear()
	s.setInterestLocked(s.interest &^ unix.EPOLLOUT)
	return true
}

// tryWrite is like write, but does not call failWrites: failWrites must not be called while mu is held.
func (s *socket) tryWrite(data []byte) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.state != socketOpen:
		return net.ErrClosed
	case s.queue.len()+len(data) > maxPendingWrite:
		return errWriteQueueFull
	}
	if s.queue.len() == 0 {
		n, err := s.sendLocked(data)
		if err != nil || n == len(data) {
			return err
		}
		data = data[n:]
	}
	s.queue.append(data)
	s.setInterestLocked(s.interest | unix.EPOLLOUT)
	return nil
}

// tryFlush is like flush, but does not call failWrites: failWrites must not be called while mu is held.
func (s *socket) tryFlush() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.state != socketOpen || s.queue.len() == 0 {
		return nil
	}
	n, err := s.sendLocked(s.queue.unsent())
	if err != nil {
		return err
	}
	s.queue.advance(n)
	if s.queue.len() == 0 {
		s.setInterestLocked(s.interest &^ unix.EPOLLOUT)
	}
	return nil
}

// sendLocked writes until all data is sent, the kernel accepts no more, or a call fails. One call may accept only a
// part of the data.
func (s *socket) sendLocked(data []byte) (sent int, err error) {
	for sent < len(data) {
		n, err := s.system.write(s.descriptor, data[sent:])
		switch {
		case n > 0:
			sent += n
			s.owner.bytesSent(n)
		case errors.Is(err, unix.EINTR):
		case errors.Is(err, unix.EAGAIN):
			return sent, nil
		default: // an error, or a write of 0 bytes without an error
			return sent, err
		}
	}
	return sent, nil
}
