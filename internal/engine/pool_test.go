package engine

import (
	"strings"
	"testing"
	"time"

	"flaxrelay/internal/lifecycle"
	"flaxrelay/policy"
)

func TestPool_RetiresConnectionsOfAChangedEngine(t *testing.T) {
	entry := lifecycle.Endpoint{Address: "127.0.0.1:1", Engine: policy.Engine{ID: "e1", State: policy.EngineReady}}
	for name, test := range map[string]struct {
		change  func(*lifecycle.Endpoint)
		retired bool
	}{
		"nothing":   {func(*lifecycle.Endpoint) {}, false},
		"draining":  {func(e *lifecycle.Endpoint) { e.State = policy.EngineDraining }, false},
		"address":   {func(e *lifecycle.Endpoint) { e.Address = "127.0.0.1:2" }, true},
		"restarted": {func(e *lifecycle.Endpoint) { e.StartedAt = time.Second }, true},
		"removed":   {func(e *lifecycle.Endpoint) { e.State = policy.EngineRemoved }, true},
	} {
		t.Run(name, func(t *testing.T) {
			pool := newPool[*fakeConnection]()
			pool.updateEndpoint(entry)
			c := &fakeConnection{}
			pool.get("e1").Connections = append(pool.get("e1").Connections, c)
			changed := entry
			test.change(&changed)
			pool.updateEndpoint(changed)
			if c.retired != test.retired {
				t.Errorf("retired: %t, want %t", c.retired, test.retired)
			}
		})
	}
}

// An engine that reuses the address of a removed engine is a different engine: the connections to
// the removed engine accept no more requests.
func TestPool_ReusedAddressIsAnotherEngine(t *testing.T) {
	var retired []string
	pool := newPool[*recordingConnection]()
	update := func(id string, state policy.EngineState, started time.Duration) {
		pool.updateEndpoint(lifecycle.Endpoint{
			Address: "127.0.0.1:1",
			Engine:  policy.Engine{ID: id, State: state, StartedAt: started},
		})
	}
	connect := func(id string) {
		pool.get(id).Connections = append(pool.get(id).Connections, &recordingConnection{id, &retired})
	}
	update("old", policy.EngineReady, 0)
	connect("old")
	update("new", policy.EngineReady, 0)
	if pool.get("new") == pool.get("old") || len(pool.get("new").Connections) != 0 {
		t.Error("the new engine has the connections of the old one")
	}
	update("old", policy.EngineDraining, 0)
	update("old", policy.EngineRemoved, 0)
	if pool.get("old") != nil {
		t.Error("the removed engine is still in the pool")
	}
	connect("new")
	update("new", policy.EngineReady, time.Second)
	if got := strings.Join(retired, " "); got != "old new" {
		t.Errorf("retired %q, want the connections of old and new", got)
	}
}

// recordingConnection records the id of its engine when it is retired.
type recordingConnection struct {
	engineID string
	retired  *[]string
}

// Retire implements pooled.
func (c *recordingConnection) Retire() { *c.retired = append(*c.retired, c.engineID) }
