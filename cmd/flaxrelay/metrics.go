package main

import (
	"time"

	"flaxrelay/internal/logevent"
	"flaxrelay/internal/metrics"
)

// metricsReportInterval is how often the log gets the counters' changes: often enough
// that the log shows the time before and during a fault without a request for either.
const metricsReportInterval = 5 * time.Second

// scheduleMetricsReport sets the timer of the next report.
func (s *server) scheduleMetricsReport() {
	s.loop.Timers.Schedule(s.loop.Now()+metricsReportInterval, s.reportMetrics)
}

// reportMetrics logs the counters that have changed since the last report, if any, and
// schedules the next one.
func (s *server) reportMetrics() {
	s.dispatcher.CheckPending()
	s.publishDropped()
	if changes := s.counters.Deltas(); len(changes) > 0 {
		logevent.MetricsDelta.Log(s.logger, changes...)
	}
	s.scheduleMetricsReport()
}

// publishDropped publishes how many lines of the log were lost.
func (s *server) publishDropped() {
	if s.output != nil {
		s.counters.Set(metrics.LogDropped, s.output.Dropped())
	}
}

// printCounters writes all counters to the log's output.
func (s *server) printCounters() {
	if s.output == nil {
		return
	}
	s.publishDropped()
	if s.shapes != nil {
		s.shapes.PublishCounters()
	}
	s.counters.Print(s.output)
}
