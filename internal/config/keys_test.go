package config

import (
	"encoding/json"
	"strings"
	"testing"
	"time"

	"flaxrelay/internal/lifecycle"
	"flaxrelay/policy"

	"github.com/google/go-cmp/cmp"
)

// completePostgres has every key of a deploy file.
const completePostgres = `
listen = "127.0.0.1:1"
settings = "s.json"
memory_mb = 2
sockets = 3
most_clients = 4
default_class = "five"
write_class = "six"
read_only_functions = ["seven"]
user = "eight"
database = "nine"
connect_timeout_ms = 10.5
idle_close_ms = 11.5
[[statement]]
starts = "twelve"
class = "thirteen"
key = 14
read_only = true
[consul]
address = "fifteen"
service = "sixteen"
token = "seventeen"
zone = "eighteen"
kind = "nineteen"
[shapes]
enabled = true
memory_kb = 20
hysteresis = 21.5
correct_estimates = true
snapshot = "twenty-two"
snapshot_every_s = 23.5
[[shapes.class]]
name = "twenty-four"
up_to_ms = 25.5
`

func TestPostgres_DecodesEachKey(t *testing.T) {
	var got Postgres
	v := &validator{file: "complete"}
	if !decodeTOML(v, []byte(completePostgres), &got) || v.err() != nil {
		t.Fatal(v.err())
	}
	want := Postgres{
		Listen: "127.0.0.1:1", SettingsFile: "s.json", MemoryMB: 2, MaxDescriptors: 3, MaxClients: 4,
		DefaultClass: "five", WriteClass: "six", ReadOnlyFunctions: []string{"seven"},
		User: "eight", Database: "nine", ConnectTimeoutMS: 10.5, IdleTimeoutMS: 11.5,
		Statements: []StatementRule{{Prefix: "twelve", Class: "thirteen", KeyParameter: 14, ReadOnly: true}},
		Consul: Consul{
			Address: "fifteen", Service: "sixteen", Token: "seventeen", Zone: "eighteen", Kind: "nineteen",
		},
		Shapes: Shapes{
			Enabled: true, MemoryKB: 20, Hysteresis: 21.5, CorrectEstimates: true,
			Snapshot: "twenty-two", SnapshotSeconds: 23.5,
			Classes: []ShapeClass{{Name: "twenty-four", UpToMS: 25.5}},
		},
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
}

func TestPostgres_IgnoresTheCaseOfKeys(t *testing.T) {
	var got Postgres
	v := &validator{file: "f"}
	text := "Listen = \"a\"\nUSER = \"b\"\n[CONSUL]\nToken = \"c\"\n"
	if !decodeTOML(v, []byte(text), &got) || v.err() != nil {
		t.Fatal(v.err())
	}
	if diff := cmp.Diff(Postgres{Listen: "a", User: "b", Consul: Consul{Token: "c"}}, got); diff != "" {
		t.Error(diff)
	}
}

func TestPostgres_ReportsAnUnknownKeyWithItsLine(t *testing.T) {
	var got Postgres
	v := &validator{file: "f"}
	decodeTOML(v, []byte("listen = \"a\"\nsite = 1\n"), &got)
	if err := v.err(); err == nil || err.Error() != "f:2: site: there is no such field" {
		t.Errorf("error is %v", err)
	}
}

// completeSettings has every key of the settings object, and an unknown key.
const completeSettings = `{"balancers": 1, "zone": "z", "unknown": 0, "over-share-worth": 2,
"membership-mode": "on_request", "round-ms": 3, "kinds": ["k"], "zones": ["z"],
"projects": [{"name": "p", "quota-per-s": 4, "share": 5}],
"classes": [{"name": "c", "aim-ms": 6, "aim-stretch": 7, "hard-limit-ms": 8, "effect": "idempotency_key",
 "group": "zone", "importance": 9, "late-share": 10, "streamed": true, "window-ms": 11, "in-order": true,
 "runs-in": ["r"], "kinds-open": ["o"]}],
"goal": {"whole": 12, "worst-class": 13, "worst-tenant": 14, "worst-window": 15},
"costs": {"cross-zone": 16, "waste": 17, "late-fail": 18, "probe": 19},
"report": {"how": "told", "names": ["n"]},
"contract": {"answer-slack-ms": 20, "ask-within-ms": 21, "cold-ms": 22, "fall-ms": 23, "start-capacity": 24,
 "stop-sending-within-ms": 25, "tip-multiple": 26, "settle-after-doubt-ms": 27, "extra-free": 28,
 "resend-ratio": 29, "look-back-ms": 30},
"limits": {"cancel": true, "may-probe": true, "connect-timeout-ms": 31, "idle-close-ms": 32, "max-streams": 33,
 "max-retry-after-ms": 34, "most-tries": 35, "retry-after": true, "second-copies": true},
"extra": {"cores-by-kind": [36], "memory-by-kind-mb": [37], "grant-cap": 38, "grants-count": true,
 "is-load": [true], "parallelism": [39], "takes-priority": true, "tells-cost": true, "tells-every-ms": 40,
 "when-short": "swap", "yields-to-loads": [true]}}`

// decodedSettings returns the Settings that decoding completeSettings must yield.
func decodedSettings() Settings {
	const ms = time.Millisecond
	return Settings{
		Policy: policy.Settings{
			Replicas: 1, Zone: "z", OverQuotaWeight: 2, PullDiscovery: true, TimerGranularity: 3 * ms,
			Kinds:   []policy.Kind{{Name: "k", Cores: 36, MemoryMB: 37}},
			Tenants: []policy.Tenant{{Name: "p", Quota: 4, Share: 5}},
			Classes: []policy.Class{{
				Name: "c", LatencyObjective: 6 * ms, ObjectiveStretch: 7, Deadline: 8 * ms,
				Effect: policy.IdempotentByKey, DedupScope: policy.ScopeZone, PriorityWeight: 9, LateWeight: 10,
				Streaming: true, DedupWindow: 11 * ms, Ordered: true, Zones: []string{"r"}, Kinds: []string{"o"},
				BulkLoad: true, Threads: 39, BlockedByLoad: true,
			}},
			Goal:      policy.Goal{Total: 12, WorstClass: 13, WorstTenant: 14, WorstWindow: 15},
			Penalties: policy.Penalties{CrossZone: 16, Waste: 17, LateFail: 18, HealthCheck: 19},
			Rules: policy.Rules{
				ResponseSlack: 20 * ms, ResubscribeWithin: 21 * ms, WarmupTime: 22 * ms, OverloadWindow: 23 * ms,
				WarmupCapacity: 24, DrainGrace: 25 * ms, OverloadFactor: 26, OrderSettleTime: 27 * ms,
				RetryBudgetMin: 28, RetryBudgetRatio: 29, RetryBudgetWindow: 30 * ms,
			},
			Limits: policy.Limits{
				Cancel: true, HealthChecks: true, ConnectTimeout: 31 * ms, MaxRetryAfter: 34 * ms,
				MaxAttempts: 35, RetryAfter: true, Hedging: true,
			},
			ReportsLoad: true, MaxGrantShare: 38, MemoryGrants: true, Priorities: true, ReportsCost: true,
			ProgressInterval: 40 * ms, Shortage: policy.ShortageSwap,
		},
		LoadFields: []string{"n"}, Zones: []string{"z"}, Kinds: []string{"k"}, MaxStreams: 33,
		ConnectTimeout: 31 * ms, EngineIdleTimeout: 32 * ms,
	}
}

func TestSettings_DecodeEachKeyInAnyCase(t *testing.T) {
	capitals := strings.NewReplacer(`"balancers"`, `"Balancers"`, `"whole"`, `"WHOLE"`)
	for _, text := range []string{completeSettings, capitals.Replace(completeSettings)} {
		var got Settings
		if err := json.Unmarshal([]byte(text), &got); err != nil {
			t.Fatal(err)
		}
		if diff := cmp.Diff(decodedSettings(), got); diff != "" {
			t.Error(diff)
		}
	}
}

func TestSettings_ErrorsNameTheKeysOfTheFile(t *testing.T) {
	for key, text := range map[string]string{
		"balancers":      `{"balancers": "x"}`,
		"classes.name":   `{"classes": [{"name": 1}]}`,
		"projects.share": `{"projects": [{"share": "x"}]}`,
		"goal.whole":     `{"goal": {"whole": "x"}}`,
		"report.how":     `{"report": {"how": 1}}`,
		"limits.cancel":  `{"limits": {"cancel": 1}}`,
	} {
		var settings Settings
		err := json.Unmarshal([]byte(text), &settings)
		if field := jsonFieldError(err).Field; field != key {
			t.Errorf("%s: %v", key, err)
		}
	}
}

func TestParsePlatform_DecodesEachKey(t *testing.T) {
	text := `{"name": "n", "listen": "127.0.0.1:1", "seed": "ff", "limits": {"memory_mb": 2, "sockets": 3},
"bus": "127.0.0.1:4", "known": {"offset": 5, "batch": [{"offset": 6, "topology": {"all": true, "targets": [
{"uid": "u", "endpoint": "127.0.0.1:7", "az": "a", "model": "m", "pod_group": 8, "state": "terminating", "boot_ms": 9}
]}}, {"topology": {"all": false}}]}, "settings": ` + completeSettings + `}`
	got, err := parsePlatform([]byte(text), "configuration")
	if err != nil {
		t.Fatal(err)
	}
	engine := lifecycle.Endpoint{Address: "127.0.0.1:7", Engine: policy.Engine{
		ID: "u", Zone: "a", Kind: "m", Cell: 8, CellKnown: true, State: policy.EngineDraining,
		StartedAt: 9 * time.Millisecond, StartKnown: true,
	}}
	want := &Platform{
		Listen: "127.0.0.1:1", Seed: 255, MemoryMB: 2, MaxDescriptors: 3,
		EventBus: "127.0.0.1:4", LastEvent: 6,
		InitialUpdates: []EndpointUpdate{
			{Mode: policy.UpdateFull, Engines: []lifecycle.Endpoint{engine}},
			{Mode: policy.UpdateDelta},
		},
		Settings: decodedSettings(),
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
}
