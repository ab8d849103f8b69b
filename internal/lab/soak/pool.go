package soak

import (
	"math/rand/v2"
	"slices"
	"sync"
)

// pool contains the front ends or the engines of a run. A fault claims the member that it affects, and a
// member has at most one claim at a time. A reserve of the members always stays unclaimed, so that the run can
// serve requests. A pool is safe for concurrent use.
type pool[M comparable] struct {
	reserveDivisor int // the reserve is the number of members divided by reserveDivisor, rounded down

	mu      sync.Mutex // guards the fields below
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

// all returns the current members.
func (p *pool[M]) all() []M {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Clone(p.members)
}

// claim draws an unclaimed member and claims it. If only the reserve is unclaimed, claim returns false and
// draws no random number.
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

// release ends the claim on a member.
func (p *pool[M]) release(member M) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.claimed, member)
}

// replace replaces a claimed member with its successor, which is unclaimed.
func (p *pool[M]) replace(old, successor M) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.claimed, old)
	if i := slices.Index(p.members, old); i >= 0 {
		p.members[i] = successor
	}
}
