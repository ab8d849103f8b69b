package main

import (
	"fmt"

	"flaxrelay/internal/lab/experiment"
	"flaxrelay/internal/lab/report"
)

// floodCommand measures how kinds of cache handle many statements whose shapes never recur.
type floodCommand struct {
	Seeds     []uint64 `default:"1,2,3,4,5" help:"Seeds, one run each."`
	Recurring int      `default:"200" help:"Number of recurring shapes."`
	OneOff    int      `default:"1000000" help:"Number of shapes that occur once."`
	Share     float64  `default:"0.2" help:"Share of statements with a recurring shape."`
	Kbytes    int      `default:"1024" help:"Cache size limit in KB."`
	Out       string   `placeholder:"FOLDER" help:"Write table, figures and chart to shapes-flood.* there."`
}

// floodedCaches are the kinds of cache that are compared.
var floodedCaches = []experiment.ShapeCache{experiment.TinyLFU(), experiment.LRU(), experiment.TwoQueue()}

// Run measures every kind of cache once for each seed, and publishes the results.
func (c *floodCommand) Run() error {
	results := &experimentResults{
		name: "shapes-flood",
		summary: report.Table{Columns: []string{
			"cache", "hit rate of recurring shapes", "cached shapes", "counted bytes", "heap growth",
			"resident memory of the process",
		}},
		figures: report.Table{Columns: []string{
			"cache", "seed", "lookups", "hit_rate", "cached_shapes", "counted_bytes", "heap_bytes", "rss_bytes",
		}},
		chart: report.BarChart{
			Title:  fmt.Sprintf("Hit rate of recurring shapes among %d that occur once", c.OneOff),
			Axis:   "share",
			Series: []string{"hit rate"},
			Values: make([][]float64, 1),
		},
	}
	for _, cache := range floodedCaches {
		runs, err := c.flood(cache, &results.figures)
		if err != nil {
			return err
		}
		addFloodedCache(results, cache.Name, runs)
	}
	return results.publish(c.Out)
}

// flood measures one kind of cache once for each seed. It adds one row to figures for each measurement.
func (c *floodCommand) flood(cache experiment.ShapeCache, figures *report.Table) ([]experiment.FloodResult, error) {
	var runs []experiment.FloodResult
	for _, seed := range c.Seeds {
		run, err := experiment.Flood(cache, experiment.FloodOptions{
			Seed:           seed,
			Recurring:      c.Recurring,
			OneOff:         c.OneOff,
			RecurringShare: c.Share,
			CacheBytes:     c.Kbytes * bytesPerKB,
		})
		if err != nil {
			return nil, err
		}
		runs = append(runs, run)
		figures.Add(cache.Name, seed, run.Lookups, formatShare(run.HitRate), run.CachedShapes,
			run.CountedBytes, run.HeapBytes, run.RSSBytes)
	}
	return runs, nil
}

// addFloodedCache adds one kind of cache to the summary and the chart.
func addFloodedCache(results *experimentResults, cache string, runs []experiment.FloodResult) {
	hits := newSample(runs, func(r experiment.FloodResult) float64 { return r.HitRate })
	cached := newSample(runs, func(r experiment.FloodResult) float64 { return float64(r.CachedShapes) })
	counted := newSample(runs, func(r experiment.FloodResult) float64 { return float64(r.CountedBytes) })
	heap := newSample(runs, func(r experiment.FloodResult) float64 { return float64(r.HeapBytes) })
	resident := newSample(runs, func(r experiment.FloodResult) float64 { return float64(r.RSSBytes) })
	results.summary.Add(cache,
		hits.spread(shareDigits),
		fmt.Sprintf("%.0f", cached.median()),
		fmt.Sprintf("%.0f KB", counted.median()/bytesPerKB),
		fmt.Sprintf("%.0f KB", heap.median()/bytesPerKB),
		fmt.Sprintf("%.1f MB", resident.median()/bytesPerMB))
	results.chart.Groups = append(results.chart.Groups, cache)
	results.chart.Values[0] = append(results.chart.Values[0], hits.median())
}
