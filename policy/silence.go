package policy

import "time"

const (
	silentIntervals       = 2.6  // progress intervals without a report after which an attempt is silent
	lostResponseIntervals = 2.2  // the same, while the engine reports others: its response is lost
	blockedLostIntervals  = 13.0 // the same for an attempt that waits, which is reported less often
	overdueDeviations     = 3.0  // mean deviations of latency after which an attempt is overdue
)

// silenceDetector finds attempts and engines that report nothing any more. Pauses of this process
// itself, which show as late ticks, don't count as silence.
type silenceDetector struct {
	progressInterval time.Duration // between progress reports of an attempt; 0: engines send none
	timeout          time.Duration // after which an attempt is silent; also sets the probation interval
	lastTickAt       time.Duration
	resumedAt        time.Duration // end of the latest pause of this process
}

func newSilenceDetector(s *Settings) silenceDetector {
	timeout := time.Duration(silentIntervals * float64(s.ProgressInterval))
	if s.ProgressInterval == 0 {
		for _, c := range s.Classes {
			timeout = max(timeout, c.LatencyObjective)
		}
	}
	return silenceDetector{progressInterval: s.ProgressInterval, timeout: timeout}
}

// onTick notes a tick. A late one means that this process was paused.
func (d *silenceDetector) onTick(now time.Duration) {
	if now-d.lastTickAt > 2*tickPeriod {
		d.resumedAt = now
	}
	d.lastTickAt = now
}

// probationInterval is the time between two requests to an ejected engine.
func (d *silenceDetector) probationInterval() time.Duration { return 2 * d.timeout }

// attemptSilence returns the time since the attempt's latest progress report, at most that since a pause.
func (d *silenceDetector) attemptSilence(a *attempt, now time.Duration) time.Duration {
	return now - max(a.lastHeardAt, d.resumedAt)
}

// engineSilent reports whether an engine, which has an attempt in flight, is silent, given how many of its
// attempts are. With a single silent attempt the engine must be silent twice as long: that attempt's response
// alone may be lost.
func (d *silenceDetector) engineSilent(e *engine, silentAttempts int, now time.Duration) bool {
	silence := now - max(e.outlier.lastHeardAt, e.inFlight[0].sentAt, d.resumedAt)
	return silentAttempts >= 2 && silence > d.timeout || silentAttempts == 1 && silence > 2*d.timeout
}

// responseLost reports whether the engine reports others but has long not reported this attempt.
func (d *silenceDetector) responseLost(a *attempt, now time.Duration) bool {
	intervals := lostResponseIntervals
	if a.blocked() {
		intervals = blockedLostIntervals
	}
	engineHeard := now-a.engine.outlier.lastHeardAt <= d.timeout
	silence := float64(d.attemptSilence(a, now))
	return engineHeard && silence >= intervals*float64(d.progressInterval)
}

// overdue reports whether an attempt is in flight for longer than the latencies of its class usually vary.
func (d *silenceDetector) overdue(a *attempt, now time.Duration) bool {
	inFlightMs := milliseconds(now - max(a.sentAt, d.resumedAt))
	overdueMs := a.request.usualLatencyMs() * (1 + overdueDeviations*a.request.class.latencySpread)
	return inFlightMs > overdueMs
}
