package engine

import (
	"slices"
	"time"

	"flaxrelay/internal/lifecycle"
	"flaxrelay/policy"
)

// pooled is a connection in a pool.
type pooled interface {
	comparable
	// Retire prevents new attempts on the connection, and closes it once no attempt is in flight.
	Retire()
}

// pool owns the engines of the endpoint list with their connections. The engines are identified by
// id and not by address, because a new engine may have the address of a removed one. The pool may
// be used only on the event loop's goroutine.
type pool[C pooled] struct{ engines map[string]*Engine[C] }

// Engine is one engine of the endpoint list with its connections.
type Engine[C pooled] struct {
	ID      string
	Address string
	// Connections are in the order of their dials. A connection is added when its dial starts,
	// and removed when it is closed or its dial has failed.
	Connections []C
	startedAt   time.Duration // as the endpoint list reports it
}

// newPool returns an empty pool.
func newPool[C pooled]() *pool[C] { return &pool[C]{engines: map[string]*Engine[C]{}} }

// get returns the engine with this id, or nil if the endpoint list does not contain it.
func (p *pool[C]) get(id string) *Engine[C] { return p.engines[id] }

// updateEndpoint applies an entry of the endpoint list. It retires the connections to an
// engine that has changed its address, has restarted or is removed.
func (p *pool[C]) updateEndpoint(endpoint lifecycle.Endpoint) {
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

// remove removes a connection that is closed or whose dial has failed.
func (e *Engine[C]) remove(connection C) {
	e.Connections = slices.DeleteFunc(e.Connections, func(other C) bool { return other == connection })
}
