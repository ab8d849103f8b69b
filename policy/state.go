package policy

import (
	"math/rand/v2"
	"time"
)

// Balancer decides for one proxy. It is not safe for concurrent use.
type Balancer struct {
	settings       Settings
	classes        map[string]*class
	tenants        map[string]*tenant
	kinds          map[string]Kind
	totalQuota     float64       // requests a second, of all tenants
	threadsPerCore float64       // load that an engine should hold at most
	maxThreads     float64       // of the class with the most
	silenceTimeout time.Duration // time without a progress report after which an attempt is silent

	now        time.Duration
	actions    []Action // of the event in hand
	rng        *rand.Rand
	started    bool
	startedAt  time.Duration
	ticks      int
	lastTickAt time.Duration
	resumedAt  time.Duration // end of the latest pause of this process

	fleet       controlLoop // of all engines together
	engines     []*engine   // in order of first sight
	enginesByID map[string]*engine
	requests    map[uint64]*request
	queued      []*request // waiting for earlier ones of their ordering key
	keyQueues   keyQueues
	retryWindow retryWindow
	traffic     trafficEstimate
	popularity  decayingCounter // of data sets
	affinities  []uint64        // scratch space of affinityCutoff
	meanRank    float64         // mean log2 of priority weight over expected work
	meanLoad    float64         // mean reported load, threads a core
}

// tenant is a Tenant with the state of its quota.
type tenant struct {
	Tenant
	bucket tokenBucket
}

// newBalancer returns a balancer with the state that the settings alone determine.
func newBalancer(s Settings, seed uint64) *Balancer {
	b := &Balancer{
		settings: s, rng: rand.New(rand.NewPCG(seed, seed)),
		classes: map[string]*class{}, tenants: map[string]*tenant{}, kinds: map[string]Kind{},
		enginesByID: map[string]*engine{}, requests: map[uint64]*request{},
		keyQueues: keyQueues{}, popularity: newDecayingCounter(),
	}
	for _, settings := range s.Classes {
		c := newClass(settings)
		b.classes[c.Name] = c
		b.maxThreads = max(b.maxThreads, c.Threads)
	}
	for _, t := range s.Tenants {
		b.tenants[t.Name] = &tenant{Tenant: t, bucket: tokenBucket{tokens: t.Quota + 1}}
		b.totalQuota += t.Quota
	}
	for _, k := range s.Kinds {
		b.kinds[k.Name] = k
	}
	b.traffic.arrivalRate = b.totalQuota / float64(s.Replicas)
	return b
}

// emit appends an action to those of the event in hand.
func (b *Balancer) emit(a Action) { b.actions = append(b.actions, a) }

// attempt returns an attempt of a request that is not over, or nil.
func (b *Balancer) attempt(requestID uint64, index int) *attempt {
	req := b.requests[requestID]
	if req == nil || index < 0 || index >= len(req.attempts) {
		return nil
	}
	return req.attempts[index]
}
