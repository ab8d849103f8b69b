package policy

import "time"

const (
	// Numbers of progress intervals without a progress report of an attempt.
	silentIntervals       = 2.6  // the attempt is then silent
	lostResponseIntervals = 2.2  // its response is then lost, if the engine reports other attempts
	blockedLostIntervals  = 13.0 // the same for a blocked attempt, which is reported less often

	overdueDeviations = 3.0 // mean deviations above the usual latency at which an attempt is overdue
)

// silenceDetector finds attempts and engines that have stopped reporting. A late tick shows that this process
// itself was paused. Such a pause does not count as silence.
type silenceDetector struct {
	progressInterval time.Duration // between progress reports of an attempt; 0: engines send none
	timeout          time.Duration // an attempt is silent after this; also sets the probation interval
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

// onTick records a tick. A late tick means that this process was paused.
func (d *silenceDetector) onTick(now time.Duration) {
	if now-d.lastTickAt > 2*tickPeriod {
		d.resumedAt = now
	}
	d.lastTickAt = now
}

// probationInterval is the minimum time between two probation requests to an ejected engine.
func (d *silenceDetector) probationInterval() time.Duration { return 2 * d.timeout }

// attemptSilence returns the time since the attempt's latest progress report or, if it is shorter, since the
// end of the latest pause of this process.
func (d *silenceDetector) attemptSilence(a *attempt, now time.Duration) time.Duration {
	return now - max(a.lastHeardAt, d.resumedAt)
}

// engineSilent reports whether an engine is silent, given the number of its silent attempts. At least one
// attempt must be in flight there. With a single silent attempt, the engine must be silent for twice the
// timeout, since perhaps only the response of that attempt is lost.
func (d *silenceDetector) engineSilent(e *engine, silentAttempts int, now time.Duration) bool {
	silence := now - max(e.outlier.lastHeardAt, e.inFlight[0].sentAt, d.resumedAt)
	return silentAttempts >= 2 && silence > d.timeout || silentAttempts == 1 && silence > 2*d.timeout
}

// responseLost reports whether the engine has recently reported something, but has not reported this attempt
// for a long time.
func (d *silenceDetector) responseLost(a *attempt, now time.Duration) bool {
	intervals := lostResponseIntervals
	if a.blocked() {
		intervals = blockedLostIntervals
	}
	engineHeard := now-a.engine.outlier.lastHeardAt <= d.timeout
	silence := float64(d.attemptSilence(a, now))
	return engineHeard && silence >= intervals*float64(d.progressInterval)
}

// overdue reports whether an attempt has been in flight for longer than the usual latency plus the usual
// variation of latencies in its class.
func (d *silenceDetector) overdue(a *attempt, now time.Duration) bool {
	inFlightMs := milliseconds(now - max(a.sentAt, d.resumedAt))
	overdueMs := a.request.usualLatencyMs() * (1 + overdueDeviations*a.request.class.latencySpread)
	return inFlightMs > overdueMs
}
