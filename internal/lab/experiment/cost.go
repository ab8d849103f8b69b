package experiment

import (
	"context"
	"log/slog"
	"os"
	"path/filepath"
	"strconv"
	"time"

	"flaxrelay/internal/lab/harness"
	"flaxrelay/internal/lab/workload"
)

// CostOptions say how to measure what query shapes cost flaxrelay.
type CostOptions struct {
	Root, Program string
	Clients       int
	Requests      int // a round
	Rounds        int // pairs of one without and one with query shapes
	Seed          uint64
	Prepared      bool // statements are prepared once and bound many times; else each is a Query with its values
}

// CostRound is the CPU time of flaxrelay's process a request, in microseconds, and the
// requests that it served a second.
type CostRound struct {
	CPUMicros, RequestsPerSecond float64
	ResidentKB                   int // resident at the end
}

const (
	costStatements = 2000 // different statements that the clients send
	costEngines    = 2
	warmUpShare    = 5 // the requests of a round are this many times those of the warm-up
)

// MeasureCost measures pairs of rounds, without query shapes and with them, one after the other, each
// with a process of its own between the same clients and emulated engines without work.
func MeasureCost(ctx context.Context, opts CostOptions) (without, with []CostRound, err error) {
	statements := lookups(opts.Seed, costStatements, opts.Prepared)
	for i := range 2 * opts.Rounds {
		shapes := (i+i/2)%2 == 1 // off on, on off, off on: a drift of the machine affects both
		round, err := costRound(ctx, opts, statements, shapes)
		if err != nil {
			return nil, nil, err
		}
		if shapes {
			with = append(with, round)
		} else {
			without = append(without, round)
		}
	}
	return without, with, nil
}

// maxPrepared is how many statements a client keeps prepared.
const maxPrepared = 200

// lookups are read-only statements of the workload, with their values written out or bound.
func lookups(seed uint64, n int, bound bool) []workload.Statement {
	generator := workload.New(workload.Options{Seed: seed, Templates: workload.DefaultTemplates}, n)
	var statements []workload.Statement
	distinct := map[string]bool{}
	for len(statements) < n {
		s := generator.Next()
		tooMany := bound && !distinct[s.Text] && len(distinct) == maxPrepared
		if s.Class != workload.ClassLookup || (len(s.Values) > 0) != bound || tooMany {
			continue
		}
		distinct[s.Text] = true
		statements = append(statements, s)
	}
	return statements
}

// costRound measures one process from its start to its end.
func costRound(ctx context.Context, opts CostOptions, statements []workload.Statement, shapes bool) (round CostRound, err error) {
	dir, err := os.MkdirTemp("", "flaxlab-cost-")
	if err != nil {
		return round, err
	}
	defer func() { _ = os.RemoveAll(dir) }()
	addr, err := harness.FreeAddr()
	if err != nil {
		return round, err
	}
	environment, err := harness.New(harness.Options{
		Root: opts.Root, Dir: dir, Engines: costEngines, HTTPAddr: "127.0.0.1:0", PostgresAddr: addr,
		EnableShapes: shapes, Log: slog.New(slog.DiscardHandler),
		Work: func(string) (time.Duration, float64) { return 0, 1 },
	})
	if err != nil {
		return round, err
	}
	defer environment.Close()
	log, err := os.Create(filepath.Join(dir, "log"))
	if err != nil {
		return round, err
	}
	defer func() { _ = log.Close() }() // it is removed with its folder
	process, err := harness.Start(opts.Program, log, "serve", "--postgres", environment.DeployFile)
	if err != nil {
		return round, err
	}
	defer process.Stop()
	if err := harness.WaitUntilListening(ctx, addr); err != nil {
		return round, err
	}
	return measure(ctx, load{addr: addr, statements: statements, clients: opts.Clients}, opts.Requests, process.Process.Pid)
}

// measure puts a load on a process, after a warm-up.
func measure(ctx context.Context, l load, requests, pid int) (round CostRound, err error) {
	if err := l.run(ctx, requests/warmUpShare); err != nil {
		return round, err
	}
	before, err := cpuTime(pid)
	if err != nil {
		return round, err
	}
	start := time.Now()
	if err := l.run(ctx, requests); err != nil {
		return round, err
	}
	took := time.Since(start)
	after, err := cpuTime(pid)
	if err != nil {
		return round, err
	}
	round.CPUMicros = float64((after - before).Microseconds()) / float64(requests)
	round.RequestsPerSecond = float64(requests) / took.Seconds()
	round.ResidentKB = residentBytes(strconv.Itoa(pid)) >> 10
	return round, nil
}
