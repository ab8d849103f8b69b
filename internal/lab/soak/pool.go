package soak

import (
	"math/rand/v2"
	"slices"
	"sync"
)

// pool hands out the members of a run, which are front ends or engines, to faults. A member belongs
// to one fault at a time, and a share of the members stays without a fault, so that the run can go
// on serving. It is safe for concurrent use.
type pool[M comparable] struct {
	reserveDivisor int // one member in so many is never claimed

	mu      sync.Mutex // guards what follows
	members []M
	claimed map[M]bool
}

func newPool[M comparable](reserveDivisor int) *pool[M] {
	return &pool[M]{reserveDivisor: reserveDivisor, claimed: map[M]bool{}}
}

func (p *pool[M]) add(member M) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.members = append(p.members, member)
}

// all returns the present members.
func (p *pool[M]) all() []M {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Clone(p.members)
}

// claim draws a member that no fault has claimed. Without one beyond the reserve it returns false
// and draws nothing.
func (p *pool[M]) claim(random *rand.Rand) (member M, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	var unclaimed []M
	for _, candidate := range p.members {
		if !p.claimed[candidate] {
			unclaimed = append(unclaimed, candidate)
		}
	}
	if len(unclaimed) <= len(p.members)/p.reserveDivisor {
		return member, false
	}
	member = unclaimed[random.IntN(len(unclaimed))]
	p.claimed[member] = true
	return member, true
}

// release makes a member available to other faults.
func (p *pool[M]) release(member M) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.claimed, member)
}

// replace puts an unclaimed member in the place of a claimed one.
func (p *pool[M]) replace(old, successor M) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.claimed, old)
	if i := slices.Index(p.members, old); i >= 0 {
		p.members[i] = successor
	}
}
