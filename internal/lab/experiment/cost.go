package experiment

import (
	"context"
	"fmt"
	"log/slog"
	"os"
	"path/filepath"
	"time"

	"flaxrelay/internal/lab/harness"
	"flaxrelay/internal/lab/workload"
)

// CostOptions configure the measurement of the CPU time that flaxrelay spends on statement shapes.
type CostOptions struct {
	Root     string // root directory of the repository
	Program  string // path of the flaxrelay program
	Clients  int
	Requests int // number of requests in each round
	Pairs    int // number of pairs; a pair is one round without and one round with statement shapes
	Seed     uint64
	Prepared bool // prepare statements once and bind them many times, instead of sending a Query for each request
}

// CostRound is the result of one round.
type CostRound struct {
	CPUMicros         float64 // CPU time of flaxrelay's process for one request, in microseconds
	RequestsPerSecond float64
	ResidentBytes     int // resident memory at the end; 0: unknown
}

const (
	costStatements = 2000 // number of statements; after the last, a client starts again with the first
	maxPrepared    = 200  // maximum number of statements that a client prepares
	costEngines    = 2
	warmUpDivisor  = 5 // the requests of a round divided by the requests of its warm-up
)

// MeasureCost measures the rounds of all pairs, one after the other. Each round starts a new front end, whose
// engines respond at once. without[i] and with[i] are a pair.
func MeasureCost(ctx context.Context, opts CostOptions) (without, with []CostRound, err error) {
	statements := lookups(opts.Seed, costStatements, opts.Prepared)
	for i := range 2 * opts.Pairs {
		shapes := (i+i/2)%2 == 1 // off on, on off, off on: a drift of the machine's speed affects both kinds of round
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

// lookups returns lookups of the workload. If bound is true, all of them have bound values, and there are at most
// maxPrepared different texts. Otherwise, none of them has bound values.
func lookups(seed uint64, count int, bound bool) []workload.Statement {
	generator := workload.New(workload.Options{Seed: seed, Templates: workload.DefaultTemplates}, count)
	var statements []workload.Statement
	distinct := map[string]bool{}
	for len(statements) < count {
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

// costRound starts a front end, measures it and stops it.
func costRound(
	ctx context.Context, opts CostOptions, statements []workload.Statement, shapes bool,
) (CostRound, error) {
	dir, err := os.MkdirTemp("", "flaxlab-cost-")
	if err != nil {
		return CostRound{}, fmt.Errorf("directory of a round: %w", err)
	}
	defer func() { _ = os.RemoveAll(dir) }()
	addr, err := harness.FreeAddr()
	if err != nil {
		return CostRound{}, err
	}
	environment, err := harness.New(harness.Options{
		Root: opts.Root, Dir: dir, Engines: costEngines, HTTPAddr: "127.0.0.1:0", PostgresAddr: addr,
		EnableShapes: shapes, Log: slog.New(slog.DiscardHandler),
		Work: func(string) (time.Duration, float64) { return 0, 1 },
	})
	if err != nil {
		return CostRound{}, err
	}
	defer environment.Close()
	log, err := os.Create(filepath.Join(dir, "log"))
	if err != nil {
		return CostRound{}, fmt.Errorf("log of a round: %w", err)
	}
	defer func() { _ = log.Close() }() // an error does not matter, because the log is removed with its directory
	process, err := harness.Start(opts.Program, log, "serve", "--postgres", environment.DeployFile)
	if err != nil {
		return CostRound{}, err
	}
	defer process.Stop()
	if err := harness.WaitUntilListening(ctx, addr); err != nil {
		return CostRound{}, err
	}
	generator := loadGenerator{addr: addr, statements: statements, clients: opts.Clients}
	return measure(ctx, generator, opts.Requests, process.Process.Pid)
}

// measure warms the front end up and then measures the given number of requests.
func measure(ctx context.Context, generator loadGenerator, requests, pid int) (CostRound, error) {
	if err := generator.run(ctx, requests/warmUpDivisor); err != nil {
		return CostRound{}, err
	}
	cpuBefore, err := cpuTime(pid)
	if err != nil {
		return CostRound{}, err
	}
	start := time.Now()
	if err := generator.run(ctx, requests); err != nil {
		return CostRound{}, err
	}
	elapsed := time.Since(start)
	cpuAfter, err := cpuTime(pid)
	if err != nil {
		return CostRound{}, err
	}
	return CostRound{
		CPUMicros:         float64((cpuAfter - cpuBefore).Microseconds()) / float64(requests),
		RequestsPerSecond: float64(requests) / elapsed.Seconds(),
		ResidentBytes:     residentBytes(pid),
	}, nil
}
