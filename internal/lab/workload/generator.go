// Package workload generates SQL statements with their true classes and costs. It models a database of
// parts, wholesalers and districts with ten years of rows, and the programs that query it. New returns a
// Generator, whose method Next returns one statement after the other.
//
// The cost of a statement is computed from its modeled execution (the number of rows, their access path and
// the operations on them), which depends on the values. The cost does not depend on how the text is written,
// nor on anything that flaxrelay's classifier derives from the text.
package workload

import (
	"math"
	"math/rand/v2"
	"sort"

	"gonum.org/v1/gonum/stat/distuv"
)

// Options configure the generated workload.
type Options struct {
	Seed        uint64
	Templates   int     // recurring statement shapes; 0: DefaultTemplates
	OneOffShare float64 // share of statements whose shape never recurs
	// HardShare is the share of statements with broad values, such as a list of thousands of parts, in each
	// family of lookups that has broad values. A statement is a hard case if its broad values make it a report,
	// because its shape then does not determine its class.
	HardShare  float64
	WriteShare float64 // share of statements that write and are not loads
	// DriftFrom is a share of the statements. After this share, the orders table has DriftFactor times as many
	// rows. 0: the table never grows.
	DriftFrom   float64
	DriftFactor float64
	// HintSigma is the standard deviation of the natural logarithm of the random factor of hints.
	// HintMissingShare is the share of statements without a hint. A hint of the work depends on the usual
	// work of the shape and not on the values. A hint of the memory depends on the true memory.
	HintSigma        float64
	HintMissingShare float64
}

// DefaultTemplates is the number of recurring statement shapes if the options set none.
const DefaultTemplates = 200

// Parameters of the modeled deployment.
const (
	defaultOneOffShare      = 0.05
	defaultHardShare        = 0.04
	defaultWriteShare       = 0.02
	defaultDriftFrom        = 0.6
	defaultDriftFactor      = 3
	defaultHintSigma        = 0.7
	defaultHintMissingShare = 0.15
)

// Defaults returns the options of the modeled deployment.
func Defaults(seed uint64) Options {
	return Options{
		Seed:             seed,
		Templates:        DefaultTemplates,
		OneOffShare:      defaultOneOffShare,
		HardShare:        defaultHardShare,
		WriteShare:       defaultWriteShare,
		DriftFrom:        defaultDriftFrom,
		DriftFactor:      defaultDriftFactor,
		HintSigma:        defaultHintSigma,
		HintMissingShare: defaultHintMissingShare,
	}
}

// Classes of statements.
const (
	ClassLookup = "lookup"
	ClassReport = "report"
	ClassLoad   = "load"
	ClassWrite  = "write"
)

// MinReportMS is the work, in milliseconds, from which a read-only statement is a report and not a lookup. The
// work is compared before random scatter is applied to it.
const MinReportMS = 800

// Values of Statement.Template for statements without a recurring template.
const (
	TemplateOneOff = -1
	TemplateWrite  = -2
)

// Statement is one statement with its true class and cost.
type Statement struct {
	Text       string
	Values     [][]byte // bound values; nil: null
	Formats    []byte   // format codes as in a Bind message
	Types      []byte   // object ids of the parameter types, four bytes each
	Class      string
	HardCase   string  // why the class is hard to determine; "": the statement is not a hard case
	Template   int     // index of its template, TemplateOneOff or TemplateWrite
	WorkMS     float64 // on one core
	MemoryMB   float64
	HintWorkMS float64 // 0: no hint
	HintMB     float64
	Weight     float64 // priority weight
	Key        int     // number, from 1, of the bound value that is the idempotency key; 0: none
}

// Generator generates the statements of a workload. The same options give the same statements. A Generator
// is not safe for concurrent use.
type Generator struct {
	options           Options
	random            *rand.Rand
	templates         []*template
	cumulativeWeights []float64 // of the templates
	partPopularity    *rand.Zipf
	dataSetPopularity *rand.Zipf
	scatter           distuv.LogNormal // of the true work and memory
	hintError         distuv.LogNormal
	generated         int
	total             int
}

const (
	randomStream = 0x7265676973746572 // second word of the PCG seed, different for each use of a seed
	scatterSigma = 0.3                // of work and memory, as a standard deviation of the natural logarithm
	minHintSigma = 1e-9               // the distribution rejects 0
)

// Popularity of parts and data sets, by Zipf's law: the k-th has a weight of (offset + k)^-exponent.
const (
	partExponent    = 1.25
	partOffset      = 8
	dataSetExponent = 1.2
	dataSetOffset   = 3
)

// New returns a generator for a workload of the given number of statements.
func New(options Options, total int) *Generator {
	if options.Templates <= 0 {
		options.Templates = DefaultTemplates
	}
	random := rand.New(rand.NewPCG(options.Seed, randomStream))
	g := &Generator{
		options: options, random: random, total: max(total, 1),
		partPopularity:    rand.NewZipf(random, partExponent, partOffset, partCount-1),
		dataSetPopularity: rand.NewZipf(random, dataSetExponent, dataSetOffset, dataSetCount-1),
		scatter:           distuv.LogNormal{Sigma: scatterSigma, Src: random},
		hintError:         distuv.LogNormal{Sigma: max(options.HintSigma, minHintSigma), Src: random},
	}
	sum := 0.0
	for rank := range options.Templates {
		t := newTemplate(random)
		g.templates = append(g.templates, t)
		sum += t.weight(rank)
		g.cumulativeWeights = append(g.cumulativeWeights, sum)
	}
	return g
}

// Next generates the next statement.
func (g *Generator) Next() Statement {
	growth := g.growth()
	g.generated++
	switch u := g.random.Float64(); {
	case u < g.options.OneOffShare:
		t := newTemplate(g.random)
		t.oneOff = true
		return g.fromTemplate(t, TemplateOneOff, growth)
	case u < g.options.OneOffShare+g.options.WriteShare:
		return g.write(growth)
	}
	last := g.cumulativeWeights[len(g.cumulativeWeights)-1]
	index := sort.SearchFloat64s(g.cumulativeWeights, g.random.Float64()*last)
	return g.fromTemplate(g.templates[index], index, growth)
}

// growth returns the factor by which the orders table has grown so far.
func (g *Generator) growth() float64 {
	progress := float64(g.generated) / float64(g.total)
	if g.options.DriftFrom > 0 && progress >= g.options.DriftFrom {
		return g.options.DriftFactor
	}
	return 1
}

// fromTemplate generates a statement of a template with random values.
func (g *Generator) fromTemplate(t *template, index int, growth float64) Statement {
	s, usualMS := g.instantiate(t, growth)
	s.Template = index
	return g.finish(s, usualMS)
}

// hintBias contains the systematic errors of hints of the work: a factor for each class that a planner would
// expect.
var hintBias = map[string]float64{ClassLookup: 0.45, ClassReport: 2.4, ClassLoad: 0.7, ClassWrite: 1}

var priorityWeights = map[string]float64{ClassLookup: 1, ClassReport: 4, ClassLoad: 5, ClassWrite: 4}

// finish applies random scatter to the work, and sets the memory, the hint and the priority weight. usualMS is
// the work that a planner would expect without knowing the values.
func (g *Generator) finish(statement Statement, usualMS float64) Statement {
	// Before scatter, the memory grows with the power memoryExponent of the work, and is referenceMemoryMB for a
	// work of referenceWorkMS.
	const (
		minMemoryMB       = 2
		referenceMemoryMB = 6
		referenceWorkMS   = 200
		memoryExponent    = 0.7
		memoryHintBias    = 1.2 // factor by which hints of the memory are biased
	)
	memory := referenceMemoryMB * math.Pow(statement.WorkMS/referenceWorkMS, memoryExponent)
	statement.WorkMS *= g.scatter.Rand()
	statement.MemoryMB = math.Max(minMemoryMB, memory*g.scatter.Rand())
	if g.random.Float64() >= g.options.HintMissingShare {
		statement.HintWorkMS = usualMS * hintBias[hintedClass(statement.Class, usualMS)] * g.hintError.Rand()
		statement.HintMB = statement.MemoryMB * g.hintError.Rand() * memoryHintBias
	}
	statement.Weight = priorityWeights[statement.Class]
	return statement
}

// hintedClass returns the class that a planner would expect without knowing the values.
func hintedClass(class string, usualMS float64) string {
	switch {
	case class == ClassLoad || class == ClassWrite:
		return class
	case usualMS > MinReportMS:
		return ClassReport
	}
	return ClassLookup
}
