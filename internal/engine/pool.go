package engine

import (
	"slices"
	"time"

	"flaxrelay/internal/lifecycle"
	"flaxrelay/policy"
)

// Pooled is a connection in a Pool.
type Pooled interface {
	comparable
	// Retire makes the connection accept no new attempts and close once none is in flight.
	Retire()
}

// Pool owns the engines of the endpoint list with their connections. The key is the engine's
// id, because a new engine may have the address of a removed one. It may be used only on the
// event loop's goroutine.
type Pool[C Pooled] struct{ engines map[string]*Engine[C] }

// Engine is one engine of the endpoint list with its connections.
type Engine[C Pooled] struct {
	ID      string
	Address string
	// Connections are in the order of their dials. A connection is added when its dial starts,
	// and removed when it has ended.
	Connections []C
	startedAt   time.Duration // as the endpoint list reports it
}

// NewPool returns an empty pool.
func NewPool[C Pooled]() *Pool[C] { return &Pool[C]{engines: map[string]*Engine[C]{}} }

// Get returns the engine of this id, or nil if the endpoint list has none.
func (p *Pool[C]) Get(id string) *Engine[C] { return p.engines[id] }

// UpdateEndpoint applies an entry of the endpoint list. It retires the connections to an
// engine that has changed its address, has restarted or is removed.
func (p *Pool[C]) UpdateEndpoint(endpoint lifecycle.Endpoint) {
	removed := endpoint.State == policy.EngineRemoved
	known := p.engines[endpoint.ID]
	if known == nil {
		if !removed {
			p.engines[endpoint.ID] = &Engine[C]{
				ID:        endpoint.ID,
				Address:   endpoint.Address,
				startedAt: endpoint.StartedAt,
			}
		}
		return
	}
	if removed || endpoint.Address != known.Address || endpoint.StartedAt != known.startedAt {
		for _, connection := range slices.Clone(known.Connections) {
			connection.Retire()
		}
	}
	known.Address = endpoint.Address
	known.startedAt = endpoint.StartedAt
	if removed {
		delete(p.engines, endpoint.ID)
	}
}

// remove removes a connection that has ended.
func (e *Engine[C]) remove(connection C) {
	e.Connections = slices.DeleteFunc(e.Connections, func(other C) bool { return other == connection })
}
