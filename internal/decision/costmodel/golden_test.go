package costmodel

import (
	"crypto/sha256"
	"fmt"
	"math"
	"math/rand/v2"
	"strings"
	"testing"

	"flaxrelay/internal/golden"
	"flaxrelay/internal/sqltext"
)

// goldenConfigs returns the configurations whose results are compared with the golden file.
func goldenConfigs() []Config {
	return []Config{
		{Classes: classes()},
		{Classes: classes(), Hysteresis: 2, NoParameters: true},
		{Classes: classes(), NoPrior: true},
		{Classes: classes(), NoForgetting: true},
		{NoHint: true},
	}
}

// goldenTraffic draws queries of a few shapes and their costs.
type goldenTraffic struct {
	rng      *rand.Rand
	records  []ShapeRecord
	features []sqltext.Features
}

func newGoldenTraffic(seed uint64) *goldenTraffic {
	traffic := &goldenTraffic{
		rng: rand.New(rand.NewPCG(seed, 1)),
		features: []sqltext.Features{
			{Verb: sqltext.VerbSelect, Tables: 1, Selects: 1, Where: true, Values: 1},
			{Verb: sqltext.VerbSelect, Tables: 4, Joins: 3, Selects: 2, Aggregates: 2, Groups: 1, Sorts: 1},
			{Verb: sqltext.VerbInsert, Tables: 1, Rows: 500, Values: 1000},
			{Verb: sqltext.VerbUpdate, Tables: 9, Joins: 8, Windows: 1, Distincts: 1, Limited: true},
		},
	}
	traffic.records = make([]ShapeRecord, len(traffic.features))
	return traffic
}

// next draws one query, with or without a record, and its cost.
func (g *goldenTraffic) next() (Query, Observation) {
	shape := g.rng.IntN(len(g.features))
	query := Query{
		Record:     &g.records[shape],
		Features:   &g.features[shape],
		KnownClass: g.rng.IntN(8) - 1,
		Profile: sqltext.Profile{
			Alternatives:         g.rng.IntN(3) * g.rng.IntN(200),
			Span:                 float64(g.rng.IntN(2)) * 400 * g.rng.Float64(),
			HalfOpen:             g.rng.IntN(5) == 0,
			Wildcard:             sqltext.Wildcard(g.rng.IntN(4)),
			RowLimit:             float64(g.rng.IntN(2) * g.rng.IntN(5000)),
			DisabledRestrictions: g.rng.IntN(8) / 7,
			Unrestricted:         g.rng.IntN(6) == 0,
			Rows:                 g.rng.IntN(2) * 50,
			Column:               uint32(g.rng.IntN(3)),
			Key:                  uint64(g.rng.IntN(30)),
		},
	}
	if g.rng.IntN(6) == 0 {
		query.Record = nil
	}
	work := math.Exp(3 + float64(shape) + query.Profile.Span/200 + 0.4*g.rng.NormFloat64())
	if query.Profile.Key == 7 {
		work *= 12
	}
	if g.rng.IntN(3) > 0 {
		query.HintWorkMillis = work * (0.2 + g.rng.Float64())
		query.HintMemoryMB = 100 * g.rng.Float64()
	}
	observed := Observation{WorkMillis: work, MemoryMB: 50 * g.rng.Float64(), LowerBound: g.rng.IntN(12) == 0}
	if g.rng.IntN(25) == 0 {
		observed.WorkMillis = []float64{0, -1, math.Inf(1), 1e9}[g.rng.IntN(4)]
	}
	return query, observed
}

// digest returns a hash of the formatted values.
func digest(values ...any) string {
	return fmt.Sprintf("%x", sha256.Sum256(fmt.Append(nil, values...)))
}

// For each configuration, estimates and the learned state equal the golden ones to the last bit.
func TestModel_LearnsGoldenFigures(t *testing.T) {
	var out strings.Builder
	for i, config := range goldenConfigs() {
		fmt.Fprintf(&out, "configuration %d\n", i)
		model := New(config)
		traffic := newGoldenTraffic(uint64(i))
		for n := range 3000 {
			query, observed := traffic.next()
			if n%3 > 0 { // the other executions are learned without an estimate
				estimate := model.Estimate(&query)
				if n%50 == 1 {
					fmt.Fprintf(&out, " %d %v\n  %s\n", n, estimate, estimate.Explain())
				}
			}
			model.Learn(&query, observed)
		}
		fmt.Fprintf(&out, " learned %s, prior %v\n", digest(*model.State(), traffic.records), model.prior.Weights)
	}
	golden.Compare(t, "testdata/learned.golden", []byte(out.String()))
}

// The prior learns the golden weights to the last bit, even after it has stopped forgetting. It stops
// because most features never occur.
func TestPrior_LearnsGoldenFigures(t *testing.T) {
	var out strings.Builder
	rng := rand.New(rand.NewPCG(9, 1))
	learner := newPrior()
	for n := range 12000 {
		x := vector{1}
		x[1+rng.IntN(3)] = rng.Float64()
		learner.learn(&x, 5+2*x[1]-x[3]+0.3*rng.NormFloat64(), decayingWeights)
		if n%1000 == 0 {
			fmt.Fprintf(&out, "%d %v %v %s\n", n, learner.predict(&x), learner.Errors, digest(*learner))
		}
	}
	golden.Compare(t, "testdata/prior.golden", []byte(out.String()))
}
