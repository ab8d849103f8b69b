package syscallfault

import (
	"maps"
	"math/rand/v2"
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

// Faults configure which system calls fail, and how often. Rates are shares of the calls of a kind, from
// 0 to 1.
type Faults struct {
	ShortWrite     float64 // writes to sockets write at most ShortLength bytes
	InterruptWrite float64 // writes to sockets return EINTR
	ShortRead      float64 // reads from sockets return at most ShortLength bytes
	InterruptRead  float64 // reads from sockets return EINTR
	InterruptWait  float64 // waits of epoll return EINTR
	FailAccept     float64 // accept returns ECONNABORTED, ENFILE, EMFILE, ENOBUFS or EINTR
	FailSocket     float64 // socket returns ENFILE, EMFILE or ENOBUFS
	FailConnect    float64 // connect returns EADDRNOTAVAIL, ENETUNREACH or ENOBUFS
	FailFile       float64 // writes to files and syncs return ENOSPC or EIO
	TornFile       float64 // writes to files write half of their bytes
	ShortLength    int     // 0: defaultShortLength

	// ClockStep is added to the wall clock that the program reads.
	ClockStep time.Duration
}

// defaultShortLength limits a short read or write, in bytes.
const defaultShortLength = 60

// Kind names a fault in Counts.
type Kind string

// The kinds of faults.
const (
	KindShortWrite     Kind = "short-write"
	KindInterruptWrite Kind = "interrupted-write"
	KindShortRead      Kind = "short-read"
	KindInterruptRead  Kind = "interrupted-read"
	KindInterruptWait  Kind = "interrupted-wait"
	KindAccept         Kind = "accept"
	KindSocket         Kind = "socket"
	KindConnect        Kind = "connect"
	KindFile           Kind = "file"
	KindTornFile       Kind = "torn-file"
	KindClock          Kind = "stepped-clock-read"
)

// The errors of each call that its manual page lists for transient conditions.
var (
	acceptErrors  = []unix.Errno{unix.ECONNABORTED, unix.ENFILE, unix.EMFILE, unix.ENOBUFS, unix.EINTR}
	socketErrors  = []unix.Errno{unix.ENFILE, unix.EMFILE, unix.ENOBUFS}
	connectErrors = []unix.Errno{unix.EADDRNOTAVAIL, unix.ENETUNREACH, unix.ENOBUFS}
	fileErrors    = []unix.Errno{unix.ENOSPC, unix.EIO}
)

// injector decides for each call whether a fault happens, and counts the faults. It is safe for
// concurrent use.
type injector struct {
	mu     sync.Mutex // guards the fields below
	random *rand.Rand
	faults Faults
	counts map[Kind]int
}

func newInjector(seed uint64, faults Faults) *injector {
	return &injector{random: rand.New(rand.NewPCG(seed, seed)), faults: faults, counts: map[Kind]int{}}
}

// set replaces the faults.
func (i *injector) set(faults Faults) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.faults = faults
}

// counted returns the number of injected faults of each kind.
func (i *injector) counted() map[Kind]int {
	i.mu.Lock()
	defer i.mu.Unlock()
	return maps.Clone(i.counts)
}

// outcome is the decision on one call. The zero value makes the call as it is.
type outcome struct {
	err    unix.Errno // the call is not made and returns this; 0: it is made
	length int        // the call is made with this length; 0: with its own
}

// draw decides whether a fault of the given rate happens, and counts it. The caller must hold mu.
func (i *injector) draw(rate float64, kind Kind) bool {
	if rate <= 0 || i.random.Float64() >= rate {
		return false
	}
	i.counts[kind]++
	return true
}

// oneOf draws one error. The caller must hold mu.
func (i *injector) oneOf(errors []unix.Errno) outcome {
	return outcome{err: errors[i.random.IntN(len(errors))]}
}

// decide returns the outcome of one system call. isFile means that its descriptor is that of a regular
// file.
func (i *injector) decide(number uint64, length int, isFile bool) outcome {
	i.mu.Lock()
	defer i.mu.Unlock()
	switch number {
	case unix.SYS_WRITE:
		if isFile {
			return i.fileWrite(length)
		}
		return i.socketWrite(length)
	case unix.SYS_READ:
		if isFile {
			return outcome{}
		}
		return i.socketRead(length)
	case unix.SYS_FSYNC:
		if i.draw(i.faults.FailFile, KindFile) {
			return i.oneOf(fileErrors)
		}
	case unix.SYS_EPOLL_WAIT, unix.SYS_EPOLL_PWAIT:
		if i.draw(i.faults.InterruptWait, KindInterruptWait) {
			return outcome{err: unix.EINTR}
		}
	case unix.SYS_ACCEPT4:
		if i.draw(i.faults.FailAccept, KindAccept) {
			return i.oneOf(acceptErrors)
		}
	case unix.SYS_SOCKET:
		if i.draw(i.faults.FailSocket, KindSocket) {
			return i.oneOf(socketErrors)
		}
	case unix.SYS_CONNECT:
		if i.draw(i.faults.FailConnect, KindConnect) {
			return i.oneOf(connectErrors)
		}
	}
	return outcome{}
}

// shortLength returns the length of a short call, which is at least 1 and less than length. The caller
// must hold mu.
func (i *injector) shortLength(length int) int {
	limit := i.faults.ShortLength
	if limit <= 0 {
		limit = defaultShortLength
	}
	return min(limit, length-1)
}

// socketWrite decides on a write to a socket. The caller must hold mu.
func (i *injector) socketWrite(length int) outcome {
	switch {
	case length > 1 && i.draw(i.faults.ShortWrite, KindShortWrite):
		return outcome{length: i.shortLength(length)}
	case i.draw(i.faults.InterruptWrite, KindInterruptWrite):
		return outcome{err: unix.EINTR}
	}
	return outcome{}
}

// socketRead decides on a read from a socket. The caller must hold mu.
func (i *injector) socketRead(length int) outcome {
	switch {
	case length > 1 && i.draw(i.faults.ShortRead, KindShortRead):
		return outcome{length: i.shortLength(length)}
	case i.draw(i.faults.InterruptRead, KindInterruptRead):
		return outcome{err: unix.EINTR}
	}
	return outcome{}
}

// fileWrite decides on a write to a file. The caller must hold mu.
func (i *injector) fileWrite(length int) outcome {
	switch {
	case i.draw(i.faults.FailFile, KindFile):
		return i.oneOf(fileErrors)
	case length > 1 && i.draw(i.faults.TornFile, KindTornFile):
		return outcome{length: length / 2}
	}
	return outcome{}
}

// wallClock returns the time that the program reads. It counts the read if the clock is stepped.
func (i *injector) wallClock() time.Time {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.faults.ClockStep != 0 {
		i.counts[KindClock]++
	}
	return time.Now().Add(i.faults.ClockStep)
}
