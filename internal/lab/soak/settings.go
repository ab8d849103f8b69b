package soak

import (
	"math/rand/v2"
	"time"
)

// The classes of every run, one for each effect.
const (
	classLookup = "lookup" // idempotent
	classLoad   = "load"   // idempotent under its key
	classWrite  = "write"  // not idempotent
)

var classes = []string{classLookup, classLoad, classWrite}

// workTimes are the mean times that an engine works on a request, by class.
var workTimes = map[string]time.Duration{
	classLookup: 40 * time.Millisecond,
	classLoad:   80 * time.Millisecond,
	classWrite:  60 * time.Millisecond,
}

// Settings that are the same in every run. The checker and the fault injector also use some of them.
const (
	longestDeadline = 2 * time.Second
	drainGrace      = 500 * time.Millisecond
	maxAttempts     = 3
	maxRetryAfter   = 300 * time.Millisecond
)

// Parameters of the slow start of an engine in every run.
const (
	warmUpTime     = 8 * time.Second
	startCapacity  = 0.3 // capacity right after the start, as a share of the full capacity
	overloadFactor = 2.5 // load above which an engine is overloaded, as a multiple of its capacity
	overloadWindow = time.Second
	engineCores    = 2
)

// The only zone and kind of engines.
const (
	engineZone = "hall-a"
	engineKind = "std-8"
)

// runSettings are the settings that vary from run to run.
type runSettings struct {
	cancel              bool // front ends may cancel attempts in flight
	retryAfter          bool // rejections have a Retry-After
	deduplicationWindow time.Duration
}

func drawRunSettings(random *rand.Rand) runSettings {
	const (
		cancelOneIn          = 2
		noRetryAfterOneIn    = 4
		minDeduplicationMS   = 1000
		deduplicationRangeMS = 5000
	)
	cancel := random.IntN(cancelOneIn) == 0
	retryAfter := random.IntN(noRetryAfterOneIn) > 0
	window := time.Duration(minDeduplicationMS+random.IntN(deduplicationRangeMS)) * time.Millisecond
	return runSettings{cancel: cancel, retryAfter: retryAfter, deduplicationWindow: window}
}

// settingsObject returns the settings object of a front end's configuration. It is a map with the keys of
// the specification: a struct would duplicate the type into which the front end decodes the settings.
func settingsObject(varying runSettings, frontEnds int) map[string]any {
	deadlineMS := longestDeadline.Milliseconds()
	return map[string]any{
		"balancers": frontEnds, "zone": engineZone, "zones": []string{engineZone}, "kinds": []string{engineKind},
		"membership-mode": "pushed", "round-ms": 5,
		"classes": []map[string]any{
			{
				"name": classLookup, "aim-ms": 300, "aim-stretch": 1.5, "hard-limit-ms": deadlineMS,
				"importance": 1, "late-share": 0.1, "effect": "read_like", "group": "all",
			},
			{
				"name": classLoad, "aim-ms": 500, "aim-stretch": 1.5, "hard-limit-ms": deadlineMS,
				"importance": 3, "late-share": 0.1, "effect": "idempotency_key", "group": "all",
				"window-ms": varying.deduplicationWindow.Milliseconds(),
			},
			{
				"name": classWrite, "aim-ms": 500, "aim-stretch": 1.5, "hard-limit-ms": deadlineMS,
				"importance": 5, "late-share": 0.1, "effect": "non_idempotent", "group": "all",
			},
		},
		"contract": map[string]any{
			"answer-slack-ms": 20, "cold-ms": warmUpTime.Milliseconds(), "fall-ms": overloadWindow.Milliseconds(),
			"start-capacity": startCapacity, "stop-sending-within-ms": drainGrace.Milliseconds(),
			"tip-multiple": overloadFactor,
		},
		"limits": map[string]any{
			"cancel": varying.cancel, "connect-timeout-ms": 250, "idle-close-ms": 5000,
			"max-retry-after-ms": maxRetryAfter.Milliseconds(), "max-streams": 32, "most-tries": maxAttempts,
			"retry-after": varying.retryAfter, "second-copies": false,
		},
		"report": map[string]any{"how": "piggyback", "names": []string{"cpu", "waiting", "x1", "x0"}},
		"extra": map[string]any{
			"cores-by-kind": []int{engineCores}, "memory-by-kind-mb": []int{8192}, "grants-count": false,
			"is-load": []bool{false, true, false}, "parallelism": []int{1, 1, 1}, "takes-priority": true,
			"tells-cost": true, "tells-every-ms": 0, "when-short": "queue",
			"yields-to-loads": []bool{false, false, false},
		},
	}
}
