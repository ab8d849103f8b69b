package fake

import (
	"encoding/json"
	"net/http"
	"net/netip"
	"time"
)

// Instance is an instance of a service in the catalog.
type Instance struct {
	ID   string
	Addr netip.AddrPort
}

// catalogEntry is an element of the response to /v1/catalog/service.
type catalogEntry struct {
	Node        string `json:"Node"`
	Address     string `json:"Address"`
	Datacenter  string `json:"Datacenter"`
	ServiceID   string `json:"ServiceID"`
	ServicePort int    `json:"ServicePort"`
}

// healthEntry is an element of the response to /v1/health/service.
type healthEntry struct {
	Node    healthNode    `json:"Node"`
	Service healthService `json:"Service"`
	Checks  []healthCheck `json:"Checks"`
}

type healthNode struct {
	Node string `json:"Node"`
}

type healthService struct {
	ID string `json:"ID"`
}

type healthCheck struct {
	CheckID string `json:"CheckID"`
	Status  string `json:"Status"`
}

const (
	nodeName       = "emulated"
	datacenterName = "dc1"
	// onlyIndex is the index of all responses, since nothing ever changes.
	onlyIndex = "1"
)

// ConsulHandler serves the catalog and the health of instances that never change. A query with onlyIndex is a
// blocking query: the response is sent after the wait time of the query.
func ConsulHandler(service string, instances []Instance) http.Handler {
	var catalog []catalogEntry
	var health []healthEntry
	for _, instance := range instances {
		catalog = append(catalog, catalogEntry{
			Node: nodeName, Address: instance.Addr.Addr().String(), Datacenter: datacenterName,
			ServiceID: instance.ID, ServicePort: int(instance.Addr.Port()),
		})
		health = append(health, healthEntry{
			Node: healthNode{nodeName}, Service: healthService{instance.ID},
			Checks: []healthCheck{{CheckID: "serfHealth", Status: "passing"}},
		})
	}
	mux := http.NewServeMux()
	mux.Handle("/v1/catalog/service/"+service, blockingQuery(catalog))
	mux.Handle("/v1/health/service/"+service, blockingQuery(health))
	return mux
}

// blockingQuery returns a handler that responds with body. If a query contains onlyIndex, the handler first
// waits for the wait time of the query.
func blockingQuery(body any) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		query := r.URL.Query()
		if wait, err := time.ParseDuration(query.Get("wait")); err == nil && query.Get("index") == onlyIndex {
			select {
			case <-time.After(wait):
			case <-r.Context().Done():
				return
			}
		}
		w.Header().Set("X-Consul-Index", onlyIndex)
		_ = json.NewEncoder(w).Encode(body) // fails only if the client has disconnected
	}
}
