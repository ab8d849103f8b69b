package soak

import (
	"encoding/json"
	"math/rand/v2"
	"time"
)

// The classes of every run, by their effect.
const (
	classLookup = "lookup" // may be repeated freely
	classLoad   = "load"   // may be repeated under its key
	classWrite  = "write"  // may run once
)

var classes = []string{classLookup, classLoad, classWrite}

// workTimes are the mean times that an engine works on a request.
var workTimes = map[string]time.Duration{
	classLookup: 40 * time.Millisecond, classLoad: 80 * time.Millisecond, classWrite: 60 * time.Millisecond,
}

// Figures of the settings that the oracle needs.
const (
	longestDeadline = 2 * time.Second
	answerSlack     = 500 * time.Millisecond // beyond a client's time: later is lost
	drainGrace      = 500 * time.Millisecond
	coldTime        = 8 * time.Second
	startCapacity   = 0.3
	overloadFactor  = 2.5
	overloadWindow  = time.Second
	engineCores     = 2
	maxAttempts     = 3
	maxRetryAfter   = 300 * time.Millisecond
)

// siteOptions are the parts of the settings that vary from run to run.
type siteOptions struct {
	cancel     bool // running requests may be cancelled
	retryAfter bool
	dedupMS    int
}

func drawSite(random *rand.Rand) siteOptions {
	return siteOptions{cancel: random.IntN(2) == 0, retryAfter: random.IntN(4) > 0, dedupMS: 1000 + random.IntN(5000)}
}

// settingsOf returns the settings object of a front end's configuration.
func settingsOf(site siteOptions, frontEnds int) map[string]any {
	milliseconds := func(d time.Duration) int64 { return d.Milliseconds() }
	return map[string]any{
		"balancers": frontEnds, "zone": "hall-a", "zones": []string{"hall-a"}, "kinds": []string{"std-8"},
		"membership-mode": "pushed", "round-ms": 5,
		"classes": []map[string]any{
			{
				"name": classLookup, "aim-ms": 300, "aim-stretch": 1.5, "hard-limit-ms": milliseconds(longestDeadline),
				"importance": 1, "late-share": 0.1, "effect": "read_like", "group": "all",
			},
			{
				"name": classLoad, "aim-ms": 500, "aim-stretch": 1.5, "hard-limit-ms": milliseconds(longestDeadline),
				"importance": 3, "late-share": 0.1, "effect": "idempotency_key", "group": "all", "window-ms": site.dedupMS,
			},
			{
				"name": classWrite, "aim-ms": 500, "aim-stretch": 1.5, "hard-limit-ms": milliseconds(longestDeadline),
				"importance": 5, "late-share": 0.1, "effect": "non_idempotent", "group": "all",
			},
		},
		"contract": map[string]any{
			"answer-slack-ms": 20, "cold-ms": milliseconds(coldTime), "fall-ms": milliseconds(overloadWindow),
			"start-capacity": startCapacity, "stop-sending-within-ms": milliseconds(drainGrace), "tip-multiple": overloadFactor,
		},
		"limits": map[string]any{
			"cancel": site.cancel, "connect-timeout-ms": 250, "idle-close-ms": 5000, "max-retry-after-ms": milliseconds(maxRetryAfter),
			"max-streams": 32, "most-tries": maxAttempts, "retry-after": site.retryAfter, "second-copies": false,
		},
		"report": map[string]any{"how": "piggyback", "names": []string{"cpu", "waiting", "x1", "x0"}},
		"extra": map[string]any{
			"cores-by-kind": []int{engineCores}, "memory-by-kind-mb": []int{8192}, "grants-count": false,
			"is-load": []bool{false, true, false}, "parallelism": []int{1, 1, 1}, "takes-priority": true, "tells-cost": true,
			"tells-every-ms": 0, "when-short": "queue", "yields-to-loads": []bool{false, false, false},
		},
	}
}

// configOf returns a front end's configuration.
func configOf(name, listen string, seed uint64, site siteOptions, frontEnds int, bus *eventBus) []byte {
	encoded, err := json.MarshalIndent(map[string]any{
		"name": name, "listen": listen, "seed": seedText(seed),
		"limits": map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": 512},
		"bus":    bus.addr(), "known": bus.known(), "settings": settingsOf(site, frontEnds),
	}, "", " ")
	if err != nil {
		panic(err) // all of it can be encoded
	}
	return encoded
}
