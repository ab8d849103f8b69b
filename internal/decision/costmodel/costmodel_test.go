package costmodel

import (
	"math"
	"math/rand/v2"
	"testing"

	"flaxrelay/internal/sqltext"

	"pgregory.net/rapid"
)

func classes() []Class { return []Class{{Name: "lookup", MaxWorkMillis: 800}, {Name: "report"}} }

// shapeFixture is a model and an execution of one shape and profile.
type shapeFixture struct {
	model *Model
	query Query
}

func newShapeFixture(cfg Config) *shapeFixture {
	features := &sqltext.Features{Verb: sqltext.VerbSelect, Tables: 1, Where: true}
	return &shapeFixture{
		model: New(cfg),
		query: Query{Record: &ShapeRecord{}, Features: features, KnownClass: NoClass},
	}
}

// learn makes the model learn the given number of executions with the given work.
func (f *shapeFixture) learn(executions int, work float64) {
	for range executions {
		q := f.query
		f.model.Learn(&q, Observation{WorkMillis: work, MemoryMB: 10})
	}
}

// estimate estimates one execution.
func (f *shapeFixture) estimate() Estimate {
	q := f.query
	return f.model.Estimate(&q)
}

// For any reports of engines, an estimate is a number within its limits and its class is one of the
// configured classes. An implausible cost changes nothing.
func TestEstimate_StaysWithinLimits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newShapeFixture(Config{Classes: classes()})
		implausible := rapid.SampledFrom([]float64{0, -5, 1e12, math.NaN(), math.Inf(1)})
		cost := rapid.OneOf(rapid.Float64(), rapid.Float64Range(0.01, 1e5), implausible)
		for range rapid.IntRange(1, 60).Draw(t, "n") {
			q := f.query
			q.HintWorkMillis = cost.Draw(t, "hint")
			q.Profile = sqltext.Profile{
				Alternatives: rapid.IntRange(0, 1e6).Draw(t, "alternatives"),
				Span:         rapid.Float64Range(0, 1e12).Draw(t, "span"),
				RowLimit:     rapid.Float64Range(0, 1e9).Draw(t, "limit"),
				Key:          rapid.Uint64Range(0, 5).Draw(t, "key"),
			}
			observed := Observation{
				WorkMillis: cost.Draw(t, "work"),
				MemoryMB:   cost.Draw(t, "memory"),
				LowerBound: rapid.Bool().Draw(t, "at least"),
			}
			before := *f.query.Record
			f.model.Learn(&q, observed)
			if !(observed.WorkMillis >= minWorkMillis && observed.WorkMillis <= maxWorkMillis) {
				before.Executions++
				if before != *f.query.Record {
					t.Fatalf("a cost of %g was learned", observed.WorkMillis)
				}
			}
			checkLimits(t, f.model.Estimate(&q))
		}
		if err := f.query.Record.Check(); err != nil {
			t.Fatal(err)
		}
		if _, err := Restore(Config{}, f.model.State()); err != nil {
			t.Fatal(err)
		}
	})
}

// checkLimits checks that the numbers of a known estimate are finite and within their limits, and that its
// class is one of the two classes.
func checkLimits(t *rapid.T, estimate Estimate) {
	t.Helper()
	if !estimate.Known {
		return
	}
	if !(estimate.WorkMillis >= minWorkMillis*0.99 && estimate.WorkMillis <= maxWorkMillis*1.01) {
		t.Fatalf("work of the estimate %+v", estimate)
	}
	if !(estimate.SpreadFactor >= 1) || math.IsInf(estimate.SpreadFactor, 0) {
		t.Fatalf("spread of the estimate %+v", estimate)
	}
	if !(estimate.MemoryMB >= 0) || math.IsInf(estimate.MemoryMB, 0) {
		t.Fatalf("memory of the estimate %+v", estimate)
	}
	if estimate.Class < 0 || estimate.Class > 1 || estimate.Explain() == "" {
		t.Fatalf("class %d, explanation %q", estimate.Class, estimate.Explain())
	}
}

// The same calls give the same estimates.
func TestEstimate_IsDeterministic(t *testing.T) {
	run := func() Estimate {
		f := newShapeFixture(Config{Classes: classes()})
		rng := rand.New(rand.NewPCG(1, 2))
		for range 500 {
			q := f.query
			q.Profile.Key = rng.Uint64N(50)
			q.HintWorkMillis = 100 * rng.Float64()
			f.model.Learn(&q, Observation{WorkMillis: 100 + 900*rng.Float64(), MemoryMB: 5})
		}
		q := f.query
		q.HintWorkMillis = 70
		return f.model.Estimate(&q)
	}
	if a, b := run(), run(); a != b {
		t.Errorf("%+v and then %+v", a, b)
	}
}

// After a change of the cost by a factor of ten, the estimate adapts within about ten observations. Without
// forgetting, it does not adapt.
func TestLearn_FollowsChangedCostOnlyWithForgetting(t *testing.T) {
	for _, forget := range []bool{true, false} {
		f := newShapeFixture(Config{Classes: classes(), NoForgetting: !forget})
		f.learn(200, 150)
		f.learn(25, 1500)
		got := f.estimate().WorkMillis
		if forget && (got < 1000 || got > 2000) || !forget && got > 1000 {
			t.Errorf("forgetting %v: %.0f ms after the cost went from 150 to 1500", forget, got)
		}
	}
}

// One implausible report, or one execution with a bad plan, has little influence.
func TestLearn_OutlierHasLittleInfluence(t *testing.T) {
	for _, outlier := range []float64{-1, 0, math.NaN(), math.Inf(1), 1e12, 3.5e6, 0.011} {
		f := newShapeFixture(Config{Classes: classes()})
		f.learn(40, 200)
		before := f.estimate().WorkMillis
		f.learn(1, outlier)
		if got := f.estimate().WorkMillis; math.Abs(math.Log2(got/before)) > 0.25 {
			t.Errorf("one cost of %g ms moved the estimate from %.0f to %.0f ms", outlier, before, got)
		}
	}
}

// A hint that is wrong by a factor of ten is corrected.
func TestHint_IsCorrected(t *testing.T) {
	model := New(Config{Classes: classes()})
	rng := rand.New(rand.NewPCG(3, 4))
	features := &sqltext.Features{Verb: sqltext.VerbSelect, Tables: 1}
	for range 300 {
		work := math.Exp(5 + rng.NormFloat64()*1.2) // widely spread, and the hint is proportional to it
		model.Learn(&Query{Features: features, KnownClass: 0, HintWorkMillis: work / 10}, Observation{WorkMillis: work})
	}
	e := model.Estimate(&Query{Features: features, KnownClass: 0, HintWorkMillis: 50})
	if e.WorkMillis < 350 || e.WorkMillis > 700 {
		t.Errorf("estimate of %.0f ms for a hint of 50 ms, a tenth of the work: %s", e.WorkMillis, e.Explain())
	}
}

// A shape whose cost lies at the limit of a class keeps its class until its cost is well past the limit.
func TestHysteresis_KeepsClassAtLimit(t *testing.T) {
	f := newShapeFixture(Config{Classes: classes(), Hysteresis: 1.3})
	rng := rand.New(rand.NewPCG(5, 6))
	f.learn(20, 700)
	changes := 0
	last := NoClass
	for range 500 {
		f.learn(1, 800*math.Exp(0.1*rng.NormFloat64()))
		if class := f.estimate().Class; class != last {
			changes++
			last = class
		}
	}
	if changes > 2 {
		t.Errorf("the class changed %d times", changes)
	}
	f.learn(60, 2500)
	if e := f.estimate(); e.Class != 1 {
		t.Errorf("still class %d at %.0f ms", e.Class, e.WorkMillis)
	}
}

// The work of a cancelled execution is learned only as a lower bound of the cost.
func TestLearn_CancelledExecutionIsLowerBound(t *testing.T) {
	f := newShapeFixture(Config{Classes: classes()})
	f.learn(30, 200)
	for range 20 {
		q := f.query
		f.model.Learn(&q, Observation{WorkMillis: 100, LowerBound: true})
	}
	if got := f.estimate().WorkMillis; got < 150 {
		t.Errorf("estimate of %.0f ms after lower bounds below the cost", got)
	}
	for range 30 {
		q := f.query
		f.model.Learn(&q, Observation{WorkMillis: 6000, LowerBound: true})
	}
	if got := f.estimate().WorkMillis; got < 2000 {
		t.Errorf("estimate of %.0f ms after 30 executions were cancelled at 6000 ms", got)
	}
}

// A value that is requested often and costs ten times as much as others is estimated separately.
func TestFrequentValue_IsCorrected(t *testing.T) {
	f := newShapeFixture(Config{Classes: classes()})
	for i := range 3000 {
		q := f.query
		q.Profile.Key = 1e6 + uint64(i)
		work := 150.0
		if i%20 == 0 {
			q.Profile.Key = 42
			work = 1500
		}
		f.model.Learn(&q, Observation{WorkMillis: work})
	}
	q := f.query
	q.Profile.Key = 42
	if e := f.model.Estimate(&q); e.WorkMillis < 900 {
		t.Errorf("%.0f ms for the frequent value: %s", e.WorkMillis, e.Explain())
	}
	q.Profile.Key = 7
	if e := f.model.Estimate(&q); e.WorkMillis > 300 {
		t.Errorf("%.0f ms for another value: %s", e.WorkMillis, e.Explain())
	}
}
