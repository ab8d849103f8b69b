package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// instance is one engine in the catalog.
type instance struct {
	id, address, zone string
}

// consul is a stand-in for Consul: the catalog and the health of one service, with blocking queries.
type consul struct {
	mu      sync.Mutex
	index   uint64
	changed chan struct{}
	list    []instance
}

func newConsul(list []instance) (*consul, string, error) {
	s := &consul{index: 1, changed: make(chan struct{}), list: list}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, "", err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("/v1/catalog/service/engine", func(w http.ResponseWriter, r *http.Request) {
		s.answer(w, r, func(i instance) any {
			host, port, _ := net.SplitHostPort(i.address)
			number, _ := strconv.Atoi(port)
			return map[string]any{
				"Node": "node-" + i.id, "Address": host, "Datacenter": "dc1", "ServiceID": i.id,
				"ServicePort": number, "ServiceMeta": map[string]string{"zone": i.zone},
			}
		})
	})
	mux.HandleFunc("/v1/health/service/engine", func(w http.ResponseWriter, r *http.Request) {
		s.answer(w, r, func(i instance) any {
			return map[string]any{
				"Node":    map[string]string{"Node": "node-" + i.id},
				"Service": map[string]any{"ID": i.id, "Meta": map[string]string{"zone": i.zone}},
				"Checks":  []map[string]string{{"CheckID": "serfHealth", "Status": "passing"}},
			}
		})
	})
	go func() { _ = http.Serve(l, mux) }()
	return s, l.Addr().String(), nil
}

func (s *consul) answer(w http.ResponseWriter, r *http.Request, element func(instance) any) {
	wait, _ := time.ParseDuration(r.URL.Query().Get("wait"))
	s.mu.Lock()
	index, changed := s.index, s.changed
	s.mu.Unlock()
	if r.URL.Query().Get("index") == fmt.Sprint(index) {
		select {
		case <-changed:
		case <-time.After(wait):
		case <-r.Context().Done():
			return
		}
	}
	s.mu.Lock()
	index = s.index
	list := []any{}
	for _, i := range s.list {
		list = append(list, element(i))
	}
	s.mu.Unlock()
	w.Header().Set("X-Consul-Index", fmt.Sprint(index))
	_ = json.NewEncoder(w).Encode(list)
}
