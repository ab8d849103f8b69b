package policy

import (
	"math"
	"slices"
	"time"
)

// negligibleBacklog is less than any weight: what is left after roundings, in threads.
const negligibleBacklog = 1e-9

// engine is an engine of the endpoint list, with what is known and learned of it.
type engine struct {
	id, zone, kind string
	cell           int64
	hash           uint64 // of its id
	cores          float64
	state          EngineState
	reportedStart  reportedStart // its latest start by its own clock, where known
	startedAt      time.Duration // the same by this balancer's clock
	controlLoop
	inFlight       []*attempt
	lastHeardAt    time.Duration // latest answer or progress report from it
	reportedLoad   float64       // threads a core
	loadReportedAt time.Duration // 0: never

	// Slow start.
	warmupEndsAt         time.Duration
	warmupSeenAt         time.Duration // when this balancer learned of the start
	budgetSpentUntil     time.Duration // this balancer's share of the warm-up budget is spent until then
	warmupSent           []sentWork    // of the overload window; see checkWarmup
	slotDraw             float64       // random slot for large requests during warm-up, 0 to 1
	restartAssumed       bool          // it counts as warming up for a broken connection alone
	previousWarmupEndsAt time.Duration // warmupEndsAt before that

	// Outlier detection.
	connectionLostAt    time.Duration // when a connection to it broke; 0: never
	faultRate           float64       // share of its latest attempts that failed
	ejected             bool
	ejectedForFaults    bool                     // and not for silence
	probationAt         time.Duration            // when it may next get a request while ejected
	lostAnswers         map[*class]int           // lost in a row, with no report of the class between
	stalledUntil        map[*class]time.Duration // nothing of the class is sent until then
	datasetLoadingUntil map[int64]time.Duration  // data sets that bulk loads block, until then
}

func newEngine(id string) *engine {
	return &engine{
		id: id, hash: hashID(id), startedAt: math.MinInt64, reportedStart: newReportedStart(),
		datasetLoadingUntil: map[int64]time.Duration{},
		lostAnswers:         map[*class]int{},
		stalledUntil:        map[*class]time.Duration{},
	}
}

// datasetLoading reports whether a bulk load blocks the data set on the engine: an own
// load in flight, or one that an own request was lately reported to wait for.
func (e *engine) datasetLoading(now time.Duration, dataset int64) bool {
	return now < e.datasetLoadingUntil[dataset] || slices.ContainsFunc(e.inFlight, func(a *attempt) bool {
		return a.request.class.BulkLoad && a.request.dataset == dataset
	})
}

// reserve counts a new attempt as in flight at its engine.
func (b *Balancer) reserve(a *attempt) {
	a.request.attempts = append(a.request.attempts, a)
	a.engine.inFlight = append(a.engine.inFlight, a)
	a.engine.backlog += a.request.weight
	b.fleet.backlog += a.request.weight
}

// release removes an attempt that has ended from those in flight.
func (b *Balancer) release(a *attempt) {
	e := a.engine
	e.inFlight = slices.DeleteFunc(e.inFlight, func(other *attempt) bool { return other == a })
	e.backlog -= a.request.weight
	if len(e.inFlight) == 0 {
		e.backlog = 0
	}
	b.fleet.backlog -= a.request.weight
	if b.fleet.backlog < negligibleBacklog {
		b.fleet.backlog = 0
	}
}
