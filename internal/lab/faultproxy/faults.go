package faultproxy

import (
	"fmt"
	"time"
)

// Kind is what a fault does.
type Kind string

// Kinds of fault. Replies are the bytes from the server to the client.
const (
	Stall          Kind = "stall"           // both ways: bytes are read and held back until it ends
	DropReplies    Kind = "drop-replies"    // replies are read and discarded; requests arrive
	CorruptReplies Kind = "corrupt-replies" // one byte of each chunk of the replies is changed
	Disconnect     Kind = "disconnect"      // connections are closed, and new ones are refused
	Reset          Kind = "reset"           // connections are reset (RST), once at its start
	HalfClose      Kind = "half-close"      // the direction to the server is closed, replies go on
)

// known reports whether the kind exists.
func (k Kind) known() bool {
	switch k {
	case Stall, DropReplies, CorruptReplies, Disconnect, Reset, HalfClose:
		return true
	}
	return false
}

// Fault is one fault of a schedule.
type Fault struct {
	Kind Kind
	From time.Duration // since the start of the proxy
	For  time.Duration // 0: to the end; Reset and HalfClose happen once
}

// activeAt reports whether the fault is active at a time since the start of the proxy.
func (f Fault) activeAt(elapsed time.Duration) bool {
	return elapsed >= f.From && (f.For <= 0 || elapsed < f.From+f.For)
}

// UnknownKindError reports a fault of an unknown kind in a schedule.
type UnknownKindError struct {
	Index int
	Kind  Kind
}

// Error implements error.
func (e *UnknownKindError) Error() string {
	return fmt.Sprintf("faultproxy: fault %d: there is no kind %q", e.Index, e.Kind)
}

// active reports whether a fault of the kind is active.
func (p *Proxy) active(kind Kind) bool {
	elapsed := time.Since(p.start)
	for _, fault := range p.opts.Faults {
		if fault.Kind == kind && fault.activeAt(elapsed) {
			return true
		}
	}
	return false
}

// schedule starts the timers of the faults.
func (p *Proxy) schedule() {
	for _, fault := range p.opts.Faults {
		p.timers = append(p.timers, time.AfterFunc(fault.From, func() { p.begin(fault) }))
		if fault.For > 0 {
			p.timers = append(p.timers, time.AfterFunc(fault.From+fault.For, p.notifyChange))
		}
	}
}

// begin does what a fault does once, at its start.
func (p *Proxy) begin(fault Fault) {
	switch fault.Kind {
	case Disconnect:
		p.forEachRelay(func(r *relay) { r.close(closeGracefully) })
	case Reset:
		p.forEachRelay(func(r *relay) { r.close(closeByReset) })
	case HalfClose:
		p.forEachRelay(func(r *relay) { _ = r.server.CloseWrite() }) // it may be closed already
	}
	p.notifyChange()
}

// notifyChange wakes those that wait for a fault to begin or to end.
func (p *Proxy) notifyChange() {
	p.mu.Lock()
	defer p.mu.Unlock()
	close(p.change)
	p.change = make(chan struct{})
}

// nextChange is closed when the next fault begins or ends.
func (p *Proxy) nextChange() <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.change
}
