package main

import (
	"time"

	"flaxrelay/internal/logevent"
	"flaxrelay/internal/metrics"
)

// metricsReportInterval is the time between two log lines with the changes of counters. It is short
// enough for the log to show how the counters changed right before a problem.
const metricsReportInterval = 5 * time.Second

// scheduleMetricsReport sets the timer of the next report. Before each report, the invariants of pending
// requests are checked, so that the report counts their violations.
func (s *server) scheduleMetricsReport() {
	s.loop.Timers.Schedule(s.loop.Now()+metricsReportInterval, func() {
		s.dispatcher.CheckPending()
		s.reportMetrics()
		s.scheduleMetricsReport()
	})
}

// reportMetrics logs the counters that have changed since the previous report.
func (s *server) reportMetrics() {
	s.publishDropped()
	if changes := s.counters.Deltas(); len(changes) > 0 {
		logevent.MetricsDelta.Log(s.logger, changes...)
	}
}

// publishDropped sets the counter of dropped log lines to the number that the writer of the log has
// counted.
func (s *server) publishDropped() {
	if s.output != nil {
		s.counters.Set(metrics.LogDropped, s.output.Dropped())
	}
}

// printCounters writes all counters to the output of the log.
func (s *server) printCounters() {
	if s.output == nil {
		return
	}
	s.publishDropped()
	if s.statistics != nil {
		s.statistics.PublishCounters()
	}
	s.counters.Print(s.output)
}
