package httpserver

import (
	"encoding/json"
	"io"
	"log/slog"
	"net"
	"os"
	"runtime"
	"testing"
	"time"

	"flaxrelay/internal/config"
	"flaxrelay/internal/eventloop"
	"flaxrelay/internal/lifecycle"
	"flaxrelay/internal/metrics"
	"flaxrelay/policy"
)

// noLinks leads to no engine.
type noLinks struct{}

func (noLinks) Start(*lifecycle.Attempt)            {}
func (noLinks) Abandon(*lifecycle.Attempt)          {}
func (noLinks) Withdraw(*lifecycle.Attempt) bool    { return false }
func (noLinks) SetPriority(*lifecycle.Attempt, int) {}
func (noLinks) UpdateEndpoint(lifecycle.Endpoint)   {}

// A client writes calls and goes before the first of them is looked at: none is taken.
func TestClientGoesBehindItsCalls(t *testing.T) {
	raw, err := os.ReadFile("../../../deploy/postgres-settings.json")
	if err != nil {
		t.Fatal(err)
	}
	var site config.Site
	if err := json.Unmarshal(raw, &site); err != nil {
		t.Fatal(err)
	}
	loop, err := eventloop.New(256)
	if err != nil {
		t.Fatal(err)
	}
	counters := metrics.New()
	c, err := lifecycle.New(site.Policy, 1, loop, loop.Timers, counters, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	c.SetEngineClient(noLinks{})
	c.UpdateEndpoints(policy.UpdateFull, []lifecycle.Endpoint{{Address: "127.0.0.1:1", Engine: policy.Engine{ID: "e", State: policy.EngineReady}}})
	f := New(loop, c, Options{}, counters)
	if err := f.Listen("127.0.0.1:0"); err != nil {
		t.Fatal(err)
	}
	ended := make(chan struct{})
	go func() { loop.Run(); close(ended) }()
	do := func(f func()) {
		done := make(chan struct{})
		loop.Post(func() { f(); close(done) })
		<-done
	}
	peer, err := net.Dial("tcp", f.Addr())
	if err != nil {
		t.Fatal(err)
	}
	var k *conn
	for k == nil {
		do(func() {
			for k = range f.conns {
			}
		})
	}
	const call = "POST /rpc/lookup HTTP/1.1\r\nReq-Id: 9b1f03aa5c7e2d41\r\nReq-Wait-Ms: 900\r\nContent-Length: 8\r\n\r\nSELECT 1"
	do(func() {
		if _, err := io.WriteString(peer, call+call); err != nil {
			t.Error(err)
		}
		peer.Close()
		for by := time.Now().Add(10 * time.Second); !k.conn.Disconnected() && time.Now().Before(by); {
			runtime.Gosched()
		}
	})
	do(func() {}) // what the poller told of came before this
	do(func() {
		if n := counters.Sum("requests.accepted."); n != 0 {
			t.Errorf("%d calls of a client that has gone were taken", n)
		}
		if len(f.conns) != 0 {
			t.Error("its connection is still there")
		}
		loop.Stop()
	})
	<-ended
}
