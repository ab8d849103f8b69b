package consul

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"

	"flaxrelay/internal/discovery/discoverytest"
	"flaxrelay/internal/lifecycle"
	"flaxrelay/internal/metrics"
	"flaxrelay/policy"

	"github.com/google/go-cmp/cmp"
)

// recorder is a sink that sends each notification as one line of text.
type recorder chan string

func (r recorder) UpdateEndpoints(_ policy.UpdateMode, engines []lifecycle.Endpoint) {
	var lines []string
	for _, engine := range engines {
		lines = append(lines, fmt.Sprintf("%s %s %s/%s %s",
			engine.ID, engine.Address, engine.Zone, engine.Kind, discoverytest.StateNames[engine.State]))
	}
	r <- strings.Join(lines, "; ")
}

// fakeAgent is a Consul agent. It responds to a query when its index differs from the index in the
// query, and fails a given number of queries.
type fakeAgent struct {
	mu       sync.Mutex
	changed  chan struct{} // closed by the next change
	index    uint64
	failures int               // number of the next queries that fail
	checks   map[string]string // by service id: "passing", "warning", "critical" or "maintenance"
	queries  []string
}

// update changes the agent's state and wakes the queries that wait for a change.
func (a *fakeAgent) update(change func()) {
	a.mu.Lock()
	defer a.mu.Unlock()
	change()
	close(a.changed)
	a.changed = make(chan struct{})
}

func (a *fakeAgent) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	a.mu.Lock()
	for r.URL.Query().Get("index") == fmt.Sprint(a.index) && a.failures == 0 {
		changed := a.changed
		a.mu.Unlock()
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		}
		a.mu.Lock()
	}
	defer a.mu.Unlock()
	a.queries = append(a.queries, r.URL.Path+" "+r.Header.Get("X-Consul-Token"))
	if a.failures > 0 {
		a.failures--
		http.Error(w, "no leader", http.StatusInternalServerError)
		return
	}
	element := healthElement
	if strings.HasPrefix(r.URL.Path, "/v1/catalog/") {
		element = catalogElement
	}
	var list []string
	for id, check := range a.checks {
		list = append(list, element(id, check))
	}
	w.Header().Set("X-Consul-Index", fmt.Sprint(a.index))
	_, _ = fmt.Fprintf(w, "[%s]", strings.Join(list, ","))
}

func catalogElement(id, _ string) string {
	return fmt.Sprintf(`{"Node":"n1","Address":"127.0.0.1","Datacenter":"dc1","ServiceID":%q,"ServicePort":70,
		"ServiceMeta":{"kind":"std-8"},"NodeMeta":null}`, id)
}

func healthElement(id, check string) string {
	checkID := "serf"
	if check == "maintenance" {
		checkID = "_service_maintenance:" + id
		check = "critical"
	}
	return fmt.Sprintf(`{"Node":{"Node":"n1"},"Service":{"ID":%q},"Checks":[{"CheckID":%q,"Status":%q}]}`,
		id, checkID, check)
}

// The engine is first ready, then in maintenance, critical, ready again and deregistered. Meanwhile
// queries fail, and the index goes back as after a restore from a backup.
func TestWatcher_NotifiesOfEachChangeOnce(t *testing.T) {
	agent := &fakeAgent{index: 50, checks: map[string]string{"e1": "passing"}, changed: make(chan struct{})}
	server := httptest.NewServer(agent)
	t.Cleanup(server.Close)
	notifications := make(recorder, 10)
	post, counters := startWatcher(t, Options{
		Address: strings.TrimPrefix(server.URL, "http://"), Service: "stock", Token: "tok", Zone: "hall-a",
	}, notifications)
	for _, step := range []struct {
		change func()
		want   string
	}{
		{func() {}, "ready"},
		{func() {
			agent.index++
			agent.checks["e1"] = "maintenance"
		}, "draining"},
		{func() {
			agent.failures = 2
			agent.index++
			agent.checks["e1"] = "critical"
		}, "gone"},
		{func() {
			agent.index = 3
			agent.checks["e1"] = "warning"
		}, "ready"},
		{func() {
			agent.index++
			delete(agent.checks, "e1")
		}, "gone"},
	} {
		agent.update(step.change)
		got := discoverytest.Receive(t, notifications, "notification that the engine is "+step.want)
		if diff := cmp.Diff("n1/e1 127.0.0.1:70 hall-a/std-8 "+step.want, got); diff != "" {
			t.Error(diff)
		}
	}
	post(func() {
		if n := counters.Get(metrics.ConsulErrors); n != 2 {
			t.Errorf("%d errors are counted, want 2", n)
		}
	})
	agent.update(func() {
		for _, query := range []string{"/v1/catalog/service/stock tok", "/v1/health/service/stock tok"} {
			if !strings.Contains(strings.Join(agent.queries, "\n"), query) {
				t.Errorf("no query %s", query)
			}
		}
	})
	select {
	case extra := <-notifications:
		t.Errorf("one notification too many: %s", extra)
	default:
	}
}

func TestNextIndex_StartsAgainAtZeroIfTheIndexWentBack(t *testing.T) {
	for _, test := range []struct {
		name                  string
		index, received, want uint64
	}{
		{"the index advances", 7, 9, 9},
		{"the index does not change within the wait", 7, 7, 7},
		{"the index goes back", 7, 3, 0},
		{"the first response has index 0", 0, 0, 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			if got := nextIndex(test.index, test.received); got != test.want {
				t.Errorf("next index %d, want %d", got, test.want)
			}
		})
	}
}
