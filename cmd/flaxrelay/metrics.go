package main

import (
	"time"

	"flaxrelay/internal/logevent"
	"flaxrelay/internal/metrics"
)

// metricsReportInterval is the time between two log lines with the changes of counters. It is short
// enough for the log to show how the counters changed right before a fault.
const metricsReportInterval = 5 * time.Second

// scheduleMetricsReport sets the timer of the next report.
func (s *server) scheduleMetricsReport() {
	s.loop.Timers.Schedule(s.loop.Now()+metricsReportInterval, s.reportMetrics)
}

// reportMetrics logs the counters that have changed since the previous report and schedules the next
// report. It also checks the invariants of pending requests.
func (s *server) reportMetrics() {
	s.dispatcher.CheckPending()
	s.publishDropped()
	if changes := s.counters.Deltas(); len(changes) > 0 {
		logevent.MetricsDelta.Log(s.logger, changes...)
	}
	s.scheduleMetricsReport()
}

// publishDropped sets the counter of dropped log lines.
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
