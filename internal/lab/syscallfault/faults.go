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
	InterruptWait  float64 // epoll_wait and epoll_pwait return EINTR
	FailAccept     float64 // accept returns ECONNABORTED, ENFILE, EMFILE, ENOBUFS or EINTR
	FailSocket     float64 // socket returns ENFILE, EMFILE or ENOBUFS
	FailConnect    float64 // connect returns EADDRNOTAVAIL, ENETUNREACH or ENOBUFS
	FailFile       float64 // writes to files, and calls of fsync, return ENOSPC or EIO
	TornFile       float64 // writes to files write half of their bytes
	ShortLength    int     // in bytes; 0: defaultShortLength

	// ClockStep is added to the wall clock that the program reads.
	ClockStep time.Duration
}

// defaultShortLength limits a short read or write, in bytes.
const defaultShortLength = 60

// Kind is the name of a fault in Counts.
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

// The errors that the manual page of each call lists for transient conditions.
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

// set replaces the faults for all later system calls.
func (i *injector) set(faults Faults) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.faults = faults
}

// injectedCounts returns the number of injected faults of each kind.
func (i *injector) injectedCounts() map[Kind]int {
	i.mu.Lock()
	defer i.mu.Unlock()
	return maps.Clone(i.counts)
}

// descriptorKind is the kind of file to which the file descriptor of a call refers.
type descriptorKind int

const (
	descriptorOther descriptorKind = iota // no file descriptor, or one whose calls have no faults
	descriptorSocket
	descriptorFile // a regular file
)

// decision determines how one call is changed. The zero value leaves the call unchanged.
type decision struct {
	err    unix.Errno // the call is skipped and returns this error; 0: the call is made
	length int        // the call is made with this length; 0: with its own length
}

// drawFault decides whether a fault of the given rate happens, and counts it. The caller must hold mu.
func (i *injector) drawFault(rate float64, kind Kind) bool {
	if rate <= 0 || i.random.Float64() >= rate {
		return false
	}
	i.counts[kind]++
	return true
}

// failWithOneOf returns the decision to skip the call and return one of the errors. The caller must hold mu.
func (i *injector) failWithOneOf(errors []unix.Errno) decision {
	return decision{err: errors[i.random.IntN(len(errors))]}
}

// decide decides on one system call. The descriptor and the length are used only for reads and writes.
func (i *injector) decide(number uint64, descriptor descriptorKind, length int) decision {
	i.mu.Lock()
	defer i.mu.Unlock()
	switch number {
	case unix.SYS_WRITE:
		return i.decideWrite(descriptor, length)
	case unix.SYS_READ:
		if descriptor == descriptorSocket {
			return i.decideSocketRead(length)
		}
	case unix.SYS_FSYNC:
		if i.drawFault(i.faults.FailFile, KindFile) {
			return i.failWithOneOf(fileErrors)
		}
	case unix.SYS_EPOLL_WAIT, unix.SYS_EPOLL_PWAIT:
		if i.drawFault(i.faults.InterruptWait, KindInterruptWait) {
			return decision{err: unix.EINTR}
		}
	case unix.SYS_ACCEPT4:
		if i.drawFault(i.faults.FailAccept, KindAccept) {
			return i.failWithOneOf(acceptErrors)
		}
	case unix.SYS_SOCKET:
		if i.drawFault(i.faults.FailSocket, KindSocket) {
			return i.failWithOneOf(socketErrors)
		}
	case unix.SYS_CONNECT:
		if i.drawFault(i.faults.FailConnect, KindConnect) {
			return i.failWithOneOf(connectErrors)
		}
	}
	return decision{}
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

// decideWrite decides on a write. The caller must hold mu.
func (i *injector) decideWrite(descriptor descriptorKind, length int) decision {
	switch descriptor {
	case descriptorSocket:
		return i.decideSocketWrite(length)
	case descriptorFile:
		return i.decideFileWrite(length)
	case descriptorOther:
	}
	return decision{}
}

// decideSocketWrite decides on a write to a socket. The caller must hold mu.
func (i *injector) decideSocketWrite(length int) decision {
	switch {
	case length > 1 && i.drawFault(i.faults.ShortWrite, KindShortWrite):
		return decision{length: i.shortLength(length)}
	case i.drawFault(i.faults.InterruptWrite, KindInterruptWrite):
		return decision{err: unix.EINTR}
	}
	return decision{}
}

// decideSocketRead decides on a read from a socket. The caller must hold mu.
func (i *injector) decideSocketRead(length int) decision {
	switch {
	case length > 1 && i.drawFault(i.faults.ShortRead, KindShortRead):
		return decision{length: i.shortLength(length)}
	case i.drawFault(i.faults.InterruptRead, KindInterruptRead):
		return decision{err: unix.EINTR}
	}
	return decision{}
}

// decideFileWrite decides on a write to a file. The caller must hold mu.
func (i *injector) decideFileWrite(length int) decision {
	switch {
	case i.drawFault(i.faults.FailFile, KindFile):
		return i.failWithOneOf(fileErrors)
	case length > 1 && i.drawFault(i.faults.TornFile, KindTornFile):
		return decision{length: length / 2}
	}
	return decision{}
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
