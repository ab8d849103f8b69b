package faultproxy

import (
	"fmt"
	"time"
)

// Kind is the effect of a fault.
type Kind string

// Kinds of fault. Responses are the bytes from the server to the client.
const (
	Stall            Kind = "stall"             // bytes of both directions are read, and written when the fault ends
	DropResponses    Kind = "drop-responses"    // responses are read and discarded; requests are relayed
	CorruptResponses Kind = "corrupt-responses" // one byte of each chunk of the responses is changed
	Disconnect       Kind = "disconnect"        // connections are closed, and new ones are reset
	Reset            Kind = "reset"             // connections are reset (RST), once at the start of the fault
	HalfClose        Kind = "half-close"        // the direction to the server is closed; the other direction stays open
)

// known reports whether the kind is one of the constants.
func (k Kind) known() bool {
	switch k {
	case Stall, DropResponses, CorruptResponses, Disconnect, Reset, HalfClose:
		return true
	}
	return false
}

// Fault is one fault of a schedule.
type Fault struct {
	Kind Kind
	From time.Duration // since the start of the proxy
	For  time.Duration // 0: until the proxy is closed; no effect on Reset and HalfClose, which happen once
}

// activeAt reports whether the fault is active. elapsed is the time since the start of the proxy.
func (f Fault) activeAt(elapsed time.Duration) bool {
	return elapsed >= f.From && (f.For <= 0 || elapsed < f.From+f.For)
}

// UnknownKindError reports a fault of an unknown kind in a schedule.
type UnknownKindError struct {
	Index int
	Kind  Kind
}

func (e *UnknownKindError) Error() string {
	return fmt.Sprintf("faultproxy: fault %d: unknown kind %q", e.Index, e.Kind)
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

// schedule starts the timers of the faults. It must be called before the first connection is accepted.
func (p *Proxy) schedule() {
	for _, fault := range p.opts.Faults {
		p.timers = append(p.timers, time.AfterFunc(fault.From, func() { p.begin(fault) }))
		if fault.For > 0 {
			p.timers = append(p.timers, time.AfterFunc(fault.From+fault.For, p.notifyChange))
		}
	}
}

// begin applies the effects that a fault has only at its start. acceptAll and the relays apply the lasting effects.
func (p *Proxy) begin(fault Fault) {
	switch fault.Kind {
	case Stall, DropResponses, CorruptResponses:
	case Disconnect:
		p.forEachRelay(func(r *relay) { r.close(closeGracefully) })
	case Reset:
		p.forEachRelay(func(r *relay) { r.close(closeByReset) })
	case HalfClose:
		p.forEachRelay(func(r *relay) { _ = r.server.CloseWrite() }) // the direction may be closed already
	}
	p.notifyChange()
}

// notifyChange wakes the goroutines that wait for a fault to begin or to end.
func (p *Proxy) notifyChange() {
	p.mu.Lock()
	defer p.mu.Unlock()
	close(p.change)
	p.change = make(chan struct{})
}

// nextChange returns a channel that is closed when the next fault begins or ends.
func (p *Proxy) nextChange() <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.change
}
