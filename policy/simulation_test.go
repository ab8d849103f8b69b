package policy_test

import (
	"bytes"
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"flaxrelay/policy"
)

// workOfClass is the work of a typical request, by class; nextArrival scales it with a random factor.
var workOfClass = map[string]time.Duration{
	"lookup": 80 * time.Millisecond, "report": 2 * time.Second, "write": 300 * time.Millisecond,
	"keyed": 250 * time.Millisecond, "keyed-zone": 150 * time.Millisecond, "keyed-all": 150 * time.Millisecond,
	"ordered": 100 * time.Millisecond, "ordered-write": 120 * time.Millisecond, "load": time.Second,
	"reader": 200 * time.Millisecond, "stream": 400 * time.Millisecond, "placed": 150 * time.Millisecond,
}

// scheduledEvent is an event that the simulation passes to the balancer at a given instant.
type scheduledEvent struct {
	at       time.Duration
	sequence int // orders the events of one instant
	event    policy.Event
	// If makeEvent is not nil, its result replaces event. It is called when the event is due, and may change the
	// simulation. It returns nil if the event has become obsolete.
	makeEvent func() policy.Event
}

// schedule is a heap of events with the next event first.
type schedule []scheduledEvent

func (s schedule) Len() int { return len(s) }
func (s schedule) Less(i, j int) bool {
	return s[i].at < s[j].at || s[i].at == s[j].at && s[i].sequence < s[j].sequence
}
func (s schedule) Swap(i, j int) { s[i], s[j] = s[j], s[i] }
func (s *schedule) Push(x any)   { *s = append(*s, x.(scheduledEvent)) }
func (s *schedule) Pop() any {
	last := (*s)[len(*s)-1]
	*s = (*s)[:len(*s)-1]
	return last
}

// simulatedEngine is an engine with its simulated load and faults.
type simulatedEngine struct {
	endpoint   policy.Engine
	attempts   int // in flight
	slowdown   float64
	hangsUntil time.Duration
}

// simulatedRequest is a request of the simulation with its attempts.
type simulatedRequest struct {
	arrival   policy.RequestArrived
	work      time.Duration
	attempts  []*simulatedAttempt
	completed bool
}

// simulatedAttempt is an attempt at an engine of the simulation.
type simulatedAttempt struct {
	engine *simulatedEngine
	sent   time.Duration
	ended  bool
}

// simulation runs a balancer in a closed loop: it draws the arrivals and the changes of the endpoint list at random,
// performs the balancer's actions, and draws the events that result from them.
type simulation struct {
	scenario

	balancer      *policy.Balancer
	random        *rand.Rand
	now           time.Duration
	schedule      schedule
	scheduled     int // events scheduled so far
	engines       []*simulatedEngine
	byID          map[string]*simulatedEngine
	requests      map[uint64]*simulatedRequest
	lastRequestID uint64
	handled       int // events handled so far
	counts        [actionKinds]int
	digest        *digestWriter
}

func newSimulation(t *testing.T, s scenario) *simulation {
	t.Helper()
	const (
		balancerSeed = 42
		eventSeed    = 7
	)
	balancer, err := policy.New(s.settings, balancerSeed)
	if err != nil {
		t.Fatal(err)
	}
	return &simulation{
		scenario: s,
		balancer: balancer,
		random:   rand.New(rand.NewPCG(eventSeed, uint64(len(s.name)))),
		now:      time.Minute,
		byID:     map[string]*simulatedEngine{},
		requests: map[uint64]*simulatedRequest{},
		digest:   newDigestWriter(),
	}
}

// run handles eventsPerScenario events and writes a line with the counts and the digest at each checkpoint.
func (s *simulation) run(t *testing.T, out *bytes.Buffer) {
	t.Helper()
	s.handle(s.firstList())
	s.after(0, s.nextArrival)
	s.after(time.Second, s.nextListEvent)
	for s.handled < eventsPerScenario && len(s.schedule) > 0 {
		event := s.nextEvent()
		if event == nil {
			continue
		}
		s.handle(event)
		if s.handled%checkpointInterval == 0 {
			fmt.Fprintf(out, "%s %d %v %016x\n", s.name, s.handled, s.counts, s.digest.hash.Sum64())
		}
	}
	if s.handled < eventsPerScenario {
		t.Fatalf("%s: only %d events", s.name, s.handled)
	}
}

// nextEvent advances the time to the next scheduled event, and returns this event, or nil if it is obsolete.
func (s *simulation) nextEvent() policy.Event {
	next := heap.Pop(&s.schedule).(scheduledEvent)
	s.now = max(s.now, next.at)
	if next.makeEvent != nil {
		return next.makeEvent()
	}
	return next.event
}

// add puts an event on the schedule after a delay.
func (s *simulation) add(delay time.Duration, event scheduledEvent) {
	s.scheduled++
	event.at = s.now + delay
	event.sequence = s.scheduled
	heap.Push(&s.schedule, event)
}

// after schedules a call of makeEvent after a delay.
func (s *simulation) after(delay time.Duration, makeEvent func() policy.Event) {
	s.add(delay, scheduledEvent{makeEvent: makeEvent})
}

// eventAfter schedules a given event after a delay.
func (s *simulation) eventAfter(delay time.Duration, event policy.Event) {
	s.add(delay, scheduledEvent{event: event})
}

// handle passes an event to the balancer and performs its actions. After every learnedStateInterval events it also
// adds all values that the balancer has learned to the digest.
func (s *simulation) handle(event policy.Event) {
	s.handled++
	for _, action := range s.balancer.Handle(s.now, event, nil) {
		s.perform(action)
	}
	if s.handled%learnedStateInterval == 0 {
		for _, value := range s.balancer.LearnedState() {
			s.digest.float(value)
		}
	}
}
