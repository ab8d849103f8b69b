package eventloop

import (
	"errors"
	"net"

	"golang.org/x/sys/unix"
)

// write sends data, or queues what the socket does not take at once. After an error the data
// was not sent completely, and the socket is about to end.
func (s *socket) write(data []byte) error {
	err := s.tryWrite(data)
	if err != nil && !errors.Is(err, net.ErrClosed) {
		s.breakOff(err)
	}
	return err
}

// breakOff ends the sending direction after an error.
func (s *socket) breakOff(err error) {
	s.mu.Lock()
	first := !s.closed && !s.broken
	s.broken, s.queue, s.sent = true, nil, 0
	if first {
		s.setInterest(s.interest &^ unix.EPOLLOUT)
	}
	s.mu.Unlock()
	if first {
		s.owner.writeFailed(err)
	}
}

func (s *socket) tryWrite(data []byte) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.closed, s.broken:
		return net.ErrClosed
	case len(s.queue)-s.sent+len(data) > maxPendingWrite:
		return errWriteQueueFull
	}
	if len(s.queue) == 0 {
		n, err := s.send(data)
		if err != nil || n == len(data) {
			return err
		}
		data = data[n:]
	}
	s.enqueue(data)
	s.setInterest(s.interest | unix.EPOLLOUT)
	return nil
}

// enqueue adds data to the queue, without the part of it that has been sent where that is most
// of it: a peer that reads slowly may leave the queue never empty. The caller holds mu.
func (s *socket) enqueue(data []byte) {
	if s.sent >= len(s.queue)/2 {
		rest := copy(s.queue, s.queue[s.sent:])
		s.queue, s.sent = s.queue[:rest], 0
	}
	s.queue = append(s.queue, data...)
}

// flush sends what is queued.
func (s *socket) flush() {
	if err := s.tryFlush(); err != nil {
		s.breakOff(err)
	}
}

func (s *socket) tryFlush() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed || s.broken || len(s.queue) == 0 {
		return nil
	}
	n, err := s.send(s.queue[s.sent:])
	if err != nil {
		return err
	}
	if s.sent += n; s.sent == len(s.queue) {
		s.queue, s.sent = nil, 0
		s.setInterest(s.interest &^ unix.EPOLLOUT)
	}
	return nil
}

// send writes until the socket takes no more, whatever a single call takes. The caller
// holds mu.
func (s *socket) send(data []byte) (sent int, err error) {
	for sent < len(data) {
		n, err := s.system.write(s.descriptor, data[sent:])
		switch {
		case n > 0:
			sent += n
			s.owner.bytesWritten(n)
		case errors.Is(err, unix.EINTR):
		case errors.Is(err, unix.EAGAIN):
			return sent, nil
		default: // an error, or nothing without one
			return sent, err
		}
	}
	return sent, nil
}
